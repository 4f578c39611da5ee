"""The simulator's adapter: runs decision modules on batches of events in JSON lines."""
