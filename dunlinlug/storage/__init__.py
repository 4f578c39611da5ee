"""What a manager keeps on disk, so that it outlives its process."""
