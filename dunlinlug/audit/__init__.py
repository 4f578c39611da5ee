"""Checks the rules of a scenario, from the records of its processes alone."""
