"""The thin trio layer: sockets for the protocol packages, nothing decided and nothing parsed here."""
