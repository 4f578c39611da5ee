"""The platform's protocol: one more path into the manager, by JSON lines over plain TCP."""
