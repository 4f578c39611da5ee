"""The simulator's wire: decision modules hosted on JSON lines."""
