"""Operators' words: the local HTTP endpoint of a manager, the pins they set by it, and the commands' side of it."""
