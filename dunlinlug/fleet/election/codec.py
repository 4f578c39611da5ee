"""Members' messages on the wire: msgpack in sealed frames. Free of I/O.

A member dials each other one and sends; who is dialled only listens. The listener says a nonce
first; each frame is its length, a number that counts up, the key's short name, a keyed BLAKE2b over
nonce, number and body, and the body. So a frame of another connection, or one twice, is refused.
Two keys are valid at a time: the first signs.
"""

import hmac
import struct
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

import msgpack

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.election import messages as election_messages
from dunlinlug.fleet.shared_keys import KEY_ID_BYTES, key_id
from dunlinlug.fleet.wire_names import by_wire_name, wire_fields, wire_name

NONCE_BYTES = 16
MAC_BYTES = 32
MAX_FRAME_BYTES = (
    2**26
)  # bytes of a frame: the whole of five hundred proxies and two thousand workers is a tenth of it
HEADER = struct.Struct(f">IQ{KEY_ID_BYTES}s{MAC_BYTES}s")
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
# By their names on the wire:
POSITION_FIELDS = ("position", "base", "upto", "committed")  # fields that are places of the log
ROW_FIELDS = ("behind", "away", "items")  # fields that are rows of plain values
MessageTypes = Mapping[str, Any]


class AuthenticationError(DunlinlugError):
    """A frame that no valid key has signed, or that is not in its order."""


def _mac(key: bytes, nonce: bytes, sequence: int, body: bytes) -> bytes:
    return blake2b(
        nonce + sequence.to_bytes(8, "big") + body, key=key, digest_size=MAC_BYTES
    ).digest()


def encode(message: Any) -> bytes:
    """Raises TypeError for a message whose class or a field of which has no wire name."""
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
    """Raises Forged for what this version does not say."""
    try:
        name, fields = msgpack.unpackb(body)
        for key in fields.keys() & POSITION_FIELDS:
            term, number = fields[key]
            fields[key] = (int(term), int(number))
        for key in fields.keys() & ROW_FIELDS:
            fields[key] = tuple(tuple(row) for row in fields[key])
        if "roll" in fields:
            version, members = fields["roll"]
            fields["roll"] = election_messages.VoterSet(
                int(version), tuple(str(m) for m in members)
            )
        if "entries" in fields:
            fields["entries"] = tuple(bytes(entry) for entry in fields["entries"])
        fields["term"], fields["sender"] = int(fields["term"]), str(fields["sender"])
        kind = message_types[name]
        attributes = wire_fields(kind)
        return kind(**{attributes[key]: value for key, value in fields.items()})
    except (ValueError, TypeError, KeyError, AttributeError, msgpack.UnpackException) as error:
        raise AuthenticationError(f"not a message: {type(error).__name__}") from None


class FrameSealer:
    def __init__(self, key: bytes, nonce: bytes) -> None:
        self.key = key
        self.nonce = nonce
        self.sequence = 0

    def frame(self, message: object) -> bytes:
        body = encode(message)
        self.sequence += 1
        return (
            HEADER.pack(
                len(body),
                self.sequence,
                key_id(self.key),
                _mac(self.key, self.nonce, self.sequence, body),
            )
            + body
        )


class FrameOpener:
    """Bytes in, messages out. Raises Forged; the connection is then to be ended."""

    def __init__(
        self, keys: list[bytes], nonce: bytes, message_types: MessageTypes = MESSAGE_TYPES
    ) -> None:
        self.keys = {key_id(key): key for key in keys}
        self.nonce = nonce
        self.sequence = 0
        self.message_types = message_types
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        self.buffer += data
        messages = []
        while len(self.buffer) >= HEADER.size:
            length, sequence, key_name, mac = HEADER.unpack_from(self.buffer)
            if (
                length > MAX_FRAME_BYTES
                or key_name not in self.keys
                or sequence != self.sequence + 1
            ):
                raise AuthenticationError(
                    "an unknown key"
                    if key_name not in self.keys
                    else "a frame out of order or over the bound"
                )
            if len(self.buffer) < HEADER.size + length:
                break
            body = bytes(self.buffer[HEADER.size : HEADER.size + length])
            del self.buffer[: HEADER.size + length]
            if not hmac.compare_digest(_mac(self.keys[key_name], self.nonce, sequence, body), mac):
                raise AuthenticationError("a frame that its key has not signed")
            self.sequence = sequence
            messages.append(decode(body, self.message_types))
        return messages
