"""Messages of the replicated logs on the wire: msgpack in signed frames on a stream; free of I/O.

A member dials each other member and only sends on that connection; the member dialled only
listens, and begins by sending a nonce of 16 bytes. Each frame is its body's length (4 bytes), a
sequence number (8), the key's id (4), a keyed BLAKE2b over nonce, sequence number and body (32),
and the body. So a frame cannot be used on another connection, nor twice on its own.
"""

import struct
from collections.abc import Mapping
from typing import Any

import msgpack

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
# bytes of a frame: ten times the snapshot of 500 proxies and 2,000 workers
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
# Fields of any message by their wire names, which msgpack gives back as lists:
POSITION_FIELDS = ("position", "base", "upto", "committed")  # positions in the log
ROW_FIELDS = ("behind", "away", "items")  # rows of plain values
VOTER_SET_FIELD = "roll"
ENTRIES_FIELD = "entries"
MessageTypes = Mapping[str, type]  # classes of messages by wire name


def encode(message: Any) -> bytes:
    """The body of a frame: the message's wire name and its fields by wire name.

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
    """The message of a frame's body.

    Raises:
        AuthenticationError: It is not a message of these types with just their fields.
    """
    try:
        name, fields = msgpack.unpackb(body)
        _restore_field_types(fields)
        kind = message_types[name]
        attributes = wire_fields(kind)
        return kind(**{attributes[key]: value for key, value in fields.items()})
    except (ValueError, TypeError, KeyError, AttributeError, msgpack.UnpackException) as error:
        raise AuthenticationError(RejectReason.FRAME_MALFORMED, type(error).__name__) from None


def _restore_field_types(fields: dict[str, Any]) -> None:
    """Makes of msgpack's lists and numbers what the messages' classes hold, in place."""
    for key in fields.keys() & POSITION_FIELDS:
        term, index = fields[key]
        fields[key] = (int(term), int(index))
    for key in fields.keys() & ROW_FIELDS:
        fields[key] = tuple(tuple(row) for row in fields[key])
    if VOTER_SET_FIELD in fields:
        version, members = fields[VOTER_SET_FIELD]
        names = tuple(str(member) for member in members)
        fields[VOTER_SET_FIELD] = election_messages.VoterSet(int(version), names)
    if ENTRIES_FIELD in fields:
        fields[ENTRIES_FIELD] = tuple(bytes(entry) for entry in fields[ENTRIES_FIELD])
    fields["term"] = int(fields["term"])
    fields["sender"] = str(fields["sender"])


def _signed_prefix(nonce: bytes, sequence: int) -> bytes:
    """What a frame's signature covers besides its body."""
    return nonce + sequence.to_bytes(8, "big")


class FrameSealer(MessageSealer):
    """Writes the frames of one connection, for the nonce that its listener sent."""

    def __init__(self, key: bytes, nonce: bytes) -> None:
        super().__init__(key, FRAME_SEAL)
        self.nonce = nonce

    def frame(self, message: object) -> bytes:
        """The message as the connection's next frame. Raises TypeError as `encode` does."""
        body = encode(message)
        sequence = self.next_sequence()
        mac = self.sign(_signed_prefix(self.nonce, sequence), body)
        return HEADER.pack(len(body), sequence, self.key_id, mac) + body


class FrameOpener(MessageOpener):
    """Reads the frames of one connection, from bytes in any pieces."""

    def __init__(
        self, keys: list[bytes], nonce: bytes, message_types: MessageTypes = MESSAGE_TYPES
    ) -> None:
        super().__init__(keys, FRAME_SEAL)
        self.nonce = nonce
        self.sequence = 0
        self.message_types = message_types
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """The messages whose frames these bytes complete.

        Raises:
            AuthenticationError: A frame is not the next one of this connection, or not signed by a
                valid key. The connection is then to be closed.
        """
        self.buffer += data
        messages = []
        while len(self.buffer) >= HEADER.size:
            length, sequence, key_name, mac = HEADER.unpack_from(self.buffer)
            self.require_known_key(key_name)
            if length > MAX_FRAME_BYTES or sequence != self.sequence + 1:
                raise AuthenticationError(RejectReason.FRAME_OUT_OF_BOUNDS)
            end = HEADER.size + length
            if len(self.buffer) < end:
                break
            body = bytes(self.buffer[HEADER.size : end])
            del self.buffer[:end]
            self.verify(key_name, _signed_prefix(self.nonce, sequence), body, mac)
            self.sequence = sequence
            messages.append(decode(body, self.message_types))
        return messages
