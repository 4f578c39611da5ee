"""Managers that take over from each other: one leader a term, by majority and lease.

`docs/election.md` has the guarantees, the options weighed and what was measured.
"""
