"""One owner at a time for work on behalf of the fleet."""
