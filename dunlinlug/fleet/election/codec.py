"""Wire format of the replicated logs: msgpack messages in signed frames on a stream, without I/O.

Each member connects to every other member and sends on that connection only; the accepting member
sends a nonce of 16 bytes and then only receives. A frame consists of the length of its body (4
bytes), a sequence number (8), the key id (4), a keyed BLAKE2b over nonce, sequence number and body
(32), and the body. Nonce and sequence number prevent replays, both on the same connection and on
another one.
"""

import struct
from collections.abc import Mapping
from typing import Any

import msgpack

from dunlinlug.bounded_values import require_bounds
from dunlinlug.fleet.election import messages as election_messages
from dunlinlug.fleet.sealing import (
    FRAME_SEAL,
    AuthenticationError,
    MessageOpener,
    MessageSealer,
    RejectReason,
)
from dunlinlug.fleet.shared_keys import KEY_ID_BYTES
from dunlinlug.fleet.wire_names import by_wire_name, wire_fields, wire_name

NONCE_BYTES = 16
# ten times the size of a snapshot of 500 proxies and 2,000 workers
MAX_FRAME_BYTES = 2**26
HEADER = struct.Struct(f">IQ{KEY_ID_BYTES}s{FRAME_SEAL.mac_bytes}s")
MESSAGE_TYPES = by_wire_name(
    (
        election_messages.VoteRequest,
        election_messages.VoteResponse,
        election_messages.AppendEntries,
        election_messages.Snapshot,
        election_messages.AppendResponse,
        election_messages.TransferLeadership,
    )
)
VOTER_SET_FIELD = "roll"  # on the wire an array of its version and its members
MessageTypes = Mapping[str, type]  # message classes by wire name


def encode(message: Any) -> bytes:
    """Encodes a frame body: the message's wire name and its fields by wire name.

    Raises:
        TypeError: The class or one of its fields declares no wire name.
    """
    kind: Any = type(message)
    fields = {}
    for name, attribute in wire_fields(kind).items():
        value = getattr(message, attribute)
        if isinstance(value, election_messages.VoterSet):
            value = (value.version, value.members)
        fields[name] = value
    data: bytes = msgpack.packb([wire_name(kind), fields])
    return data


def decode(body: bytes, message_types: MessageTypes = MESSAGE_TYPES) -> Any:
    """Decodes the message in a frame body.

    Raises:
        AuthenticationError: The body is not a message of one of these types with exactly its
            fields, all within their bounds.
    """
    try:
        name, fields = msgpack.unpackb(body)
        kind = message_types[name]
        attributes = wire_fields(kind)
        values = {attributes[key]: _plain_value(key, value) for key, value in fields.items()}
        return require_bounds(values, kind)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        RecursionError,
        msgpack.UnpackException,
    ) as error:
        raise AuthenticationError(RejectReason.FRAME_MALFORMED, type(error).__name__) from None


def _plain_value(key: str, value: Any) -> Any:
    """Returns a field's value in the form from which its type is converted."""
    if key != VOTER_SET_FIELD:
        return value
    version, members = value
    return {"version": version, "members": members}


def _signed_prefix(nonce: bytes, sequence: int) -> bytes:
    """Returns the data that a frame's signature covers besides the body."""
    return nonce + sequence.to_bytes(8, "big")


class FrameSealer(MessageSealer):
    """Writes the frames of one connection, signed with the nonce of the accepting member."""

    def __init__(self, key: bytes, nonce: bytes) -> None:
        super().__init__(key, FRAME_SEAL)
        self.nonce = nonce

    def frame(self, message: object) -> bytes:
        """Returns the message as the connection's next frame. Raises TypeError like `encode`."""
        body = encode(message)
        sequence = self.next_sequence()
        mac = self.sign(_signed_prefix(self.nonce, sequence), body)
        return HEADER.pack(len(body), sequence, self.key_id, mac) + body


class FrameOpener(MessageOpener):
    """Reads the frames of one connection from chunks of any size."""

    def __init__(
        self, keys: list[bytes], nonce: bytes, message_types: MessageTypes = MESSAGE_TYPES
    ) -> None:
        super().__init__(keys, FRAME_SEAL)
        self.nonce = nonce
        self.sequence = 0
        self.message_types = message_types
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Returns the messages whose frames these bytes complete.

        Raises:
            AuthenticationError: A frame is out of sequence, over the size limit, not signed with a
                valid key, or malformed. The caller must then close the connection.
        """
        self.buffer += data
        messages = []
        while len(self.buffer) >= HEADER.size:
            length, sequence, signing_key_id, mac = HEADER.unpack_from(self.buffer)
            self.require_known_key(signing_key_id)
            if length > MAX_FRAME_BYTES or sequence != self.sequence + 1:
                raise AuthenticationError(RejectReason.FRAME_OUT_OF_BOUNDS)
            end = HEADER.size + length
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[HEADER.size : end])
            del self.buffer[:end]
            self.verify(signing_key_id, _signed_prefix(self.nonce, sequence), body, mac)
            self.sequence = sequence
            messages.append(decode(body, self.message_types))
        return messages
