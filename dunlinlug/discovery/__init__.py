"""Service discovery protocol: Consul's health endpoint with blocking queries, without I/O."""
