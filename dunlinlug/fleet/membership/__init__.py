"""Membership: which managers there are, which have failed, and where a partition runs.

SWIM with Lifeguard's extensions; `protocol` is the way in, `docs/membership.md` the overview.
"""
