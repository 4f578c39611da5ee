"""Members' messages on the wire: msgpack in sealed frames. Free of I/O.

A member dials each other one and sends; who is dialled only listens. The listener says a nonce first; each frame is its
length, a number that counts up, the key's short name, a keyed BLAKE2b over nonce, number and body, and the body. So a
frame of another connection, or one twice, is refused. Two keys are valid at a time: the first signs.
"""

import hmac
import struct
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

import msgpack

from dunlinlug.fleet.keys import NAME, short
from dunlinlug.fleet.succession import words
from dunlinlug.fleet.wire_names import by_wire_name, wire_fields, wire_name

NONCE, MAC = 16, 32
LARGEST = (
    2**26
)  # bytes of a frame: the whole of five hundred proxies and two thousand workers is a tenth of it
HEAD = struct.Struct(f">IQ{NAME}s{MAC}s")
KINDS = by_wire_name((words.Ask, words.Answer, words.Beat, words.Whole, words.Heard, words.Pass))
# By their names on the wire:
PLACES = ("position", "base", "upto", "committed")  # fields that are places of the log
ROWS = ("behind", "away", "items")  # fields that are rows of plain values
Kinds = Mapping[str, Any]


class Forged(Exception):
    """A frame that no valid key has signed, or that is not in its order."""


def _mac(key: bytes, nonce: bytes, number: int, body: bytes) -> bytes:
    return blake2b(nonce + number.to_bytes(8, "big") + body, key=key, digest_size=MAC).digest()


def pack(message: Any) -> bytes:
    """Raises TypeError for a message whose class or a field of which has no wire name."""
    kind: Any = type(message)
    fields = {}
    for name, attribute in wire_fields(kind).items():
        value = getattr(message, attribute)
        if isinstance(value, words.Roll):
            value = (value.version, value.members)
        fields[name] = value
    made: bytes = msgpack.packb([wire_name(kind), fields])
    return made


def unpack(body: bytes, kinds: Kinds = KINDS) -> Any:
    """Raises Forged for what this version does not say."""
    try:
        name, fields = msgpack.unpackb(body)
        for key in fields.keys() & PLACES:
            term, number = fields[key]
            fields[key] = (int(term), int(number))
        for key in fields.keys() & ROWS:
            fields[key] = tuple(tuple(row) for row in fields[key])
        if "roll" in fields:
            version, members = fields["roll"]
            fields["roll"] = words.Roll(int(version), tuple(str(m) for m in members))
        if "entries" in fields:
            fields["entries"] = tuple(bytes(entry) for entry in fields["entries"])
        fields["term"], fields["sender"] = int(fields["term"]), str(fields["sender"])
        kind = kinds[name]
        attributes = wire_fields(kind)
        return kind(**{attributes[key]: value for key, value in fields.items()})
    except (ValueError, TypeError, KeyError, AttributeError, msgpack.UnpackException) as fault:
        raise Forged(f"not a message: {type(fault).__name__}") from None


class Sealer:
    def __init__(self, key: bytes, nonce: bytes) -> None:
        self.key, self.nonce, self.number = key, nonce, 0

    def frame(self, message: object) -> bytes:
        body = pack(message)
        self.number += 1
        return (
            HEAD.pack(
                len(body),
                self.number,
                short(self.key),
                _mac(self.key, self.nonce, self.number, body),
            )
            + body
        )


class Opener:
    """Bytes in, messages out. Raises Forged; the connection is then to be ended."""

    def __init__(self, keys: list[bytes], nonce: bytes, kinds: Kinds = KINDS) -> None:
        self.keys, self.nonce, self.number, self.kinds = (
            {short(key): key for key in keys},
            nonce,
            0,
            kinds,
        )
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        self.buffer += data
        found = []
        while len(self.buffer) >= HEAD.size:
            length, number, name, mac = HEAD.unpack_from(self.buffer)
            if length > LARGEST or name not in self.keys or number != self.number + 1:
                raise Forged(
                    "an unknown key"
                    if name not in self.keys
                    else "a frame out of order or over the bound"
                )
            if len(self.buffer) < HEAD.size + length:
                break
            body = bytes(self.buffer[HEAD.size : HEAD.size + length])
            del self.buffer[: HEAD.size + length]
            if not hmac.compare_digest(_mac(self.keys[name], self.nonce, number, body), mac):
                raise Forged("a frame that its key has not signed")
            self.number = number
            found.append(unpack(body, self.kinds))
        return found
