"""The roster's protocol: Consul's health list with blocking queries, as plain text in and out."""
