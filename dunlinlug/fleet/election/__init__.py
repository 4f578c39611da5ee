"""Managers that take over from each other: one master by term, by majority and lease;
`docs/succession.md`.
"""
