"""Operators' words: a manager's local HTTP endpoint, the pins and fleet changes made by it, and the
commands.
"""
