"""Encodes and decodes xDS messages, and keeps the state of a stream for both client and server.

No sockets and no clock. The protocol is Envoy's xDS v3; `docs/protocol.md` documents extensions.
"""
