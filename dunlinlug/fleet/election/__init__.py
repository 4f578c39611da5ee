"""Leader election and log replication among managers: one leader per term, by majority and lease.

`docs/election.md` describes the guarantees, the alternatives considered and the measurements.
"""
