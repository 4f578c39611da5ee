"""Administration: a manager's HTTP endpoint for operators on loopback, and its client."""
