"""xDS messages and plain records: encoding, decoding, and both sides' state of a stream.

No sockets and no clock. The protocol is Envoy's xDS v3; `docs/protocol.md` has its extensions.
"""
