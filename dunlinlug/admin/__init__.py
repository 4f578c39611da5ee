"""Administration: a manager's local HTTP endpoint for operators, and the client side of it."""
