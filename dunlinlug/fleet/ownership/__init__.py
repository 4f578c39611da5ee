"""One owner at a time for work on behalf of the fleet: leases on shards, with fencing tokens."""
