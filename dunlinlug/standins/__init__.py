"""Stand-ins for the processes around a manager: they serve, execute commands, and record events."""
