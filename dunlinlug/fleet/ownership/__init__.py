"""Gives each shard of the fleet's work one owner at a time, by leases with fencing tokens."""
