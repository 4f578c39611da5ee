"""The platform's front end: JSON lines over plain TCP, one more path into the same manager."""
