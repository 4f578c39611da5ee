"""Stand-ins for the processes around a manager: they serve, follow commands and record."""
