"""Judges a scenario by the records of its processes alone."""
