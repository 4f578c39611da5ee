"""The platform front end: connects proxies to a manager by JSON lines over plain TCP."""
