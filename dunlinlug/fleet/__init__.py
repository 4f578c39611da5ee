"""Coordination among the managers of a fleet: election, membership and shard ownership."""
