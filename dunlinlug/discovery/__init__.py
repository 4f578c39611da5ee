"""The protocol of service discovery: Consul's health list by blocking queries; free of I/O."""
