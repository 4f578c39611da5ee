"""Cluster membership: which managers exist, which have failed, and the side of a partition.

SWIM with Lifeguard's extensions. The entry point is `protocol`; `docs/membership.md` describes it.
"""
