"""Explicit-state model checking of the fleet's protocols; nothing here runs in service."""
