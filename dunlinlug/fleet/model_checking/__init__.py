"""Explicit-state model checking of the fleet's protocols, for tests and offline runs only."""
