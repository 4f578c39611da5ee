"""Sockets over trio for the protocol packages: gRPC, HTTP/1.1 and TLS; nothing is decided here."""
