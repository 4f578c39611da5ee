"""Small stand-ins for the platform's other side, used by the cases of the review."""
