"""Signs and verifies messages between managers with keyed BLAKE2b (RFC 7693), without I/O.

Two codecs use this module and define headers of their own: `membership/codec.py` for datagrams and
`election/codec.py` for frames of the two replicated logs. They share the signatures and their
verification, the replay window, and the reasons for rejecting a message.
"""

import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.shared_keys import key_id

# Sequence numbers by which a message may lag behind the highest one received; the fastest sender
# uses as many within a few seconds.
REPLAY_WINDOW = 1024


class RejectReason(StrEnum):
    """Why a message was rejected. The values appear in logs and counters."""

    # Datagrams.
    SIZE = "size"
    VERSION = "version"
    UNKNOWN_KEY = "key"
    INVALID_SIGNATURE = "seal"
    REPLAYED = "replay"
    MALFORMED = "words"
    # Frames; the connection is closed.
    FRAME_UNKNOWN_KEY = "unknown key"
    FRAME_OUT_OF_BOUNDS = "frame out of sequence or over the size limit"
    FRAME_INVALID_SIGNATURE = "invalid frame signature"
    FRAME_MALFORMED = "malformed message"
    # Rate and connection limits of a listener.
    RATE_EXCEEDED = "rate"
    TOO_MANY_STREAMS = "streams"
    TOO_MANY_CONNECTIONS = "calls"
    INCOMPLETE_STREAM = "frame"


class AuthenticationError(DunlinlugError):
    """A message that is not signed with a valid key, was replayed, or cannot be decoded.

    Attributes:
        reason: The check that failed: a `RejectReason`, or a reason defined by a simulation.
    """

    def __init__(self, reason: StrEnum, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else str(reason))
        self.reason = reason


@dataclass(frozen=True)
class SealFormat:
    """The signature length and the rejection reasons of one wire format.

    Attributes:
        mac_bytes: Length of a signature.
        unknown_key: Reason for rejecting a message with an unknown key id.
        invalid_signature: Reason for rejecting a message whose signature does not match.
    """

    mac_bytes: int
    unknown_key: RejectReason
    invalid_signature: RejectReason

    def sign(self, key: bytes, prefix: bytes, body: bytes) -> bytes:
        """Returns the signature over the body and the `prefix`, which precedes it."""
        return blake2b(prefix + body, key=key, digest_size=self.mac_bytes).digest()


DATAGRAM_SEAL = SealFormat(16, RejectReason.UNKNOWN_KEY, RejectReason.INVALID_SIGNATURE)
FRAME_SEAL = SealFormat(32, RejectReason.FRAME_UNKNOWN_KEY, RejectReason.FRAME_INVALID_SIGNATURE)


class MessageSealer:
    """Signs messages with one key and numbers them from 1.

    Codecs subclass it and write key id, sequence number and signature into their own headers.
    """

    def __init__(self, key: bytes, seal_format: SealFormat) -> None:
        self.key = key
        self.key_id = key_id(key)
        self.seal_format = seal_format
        self.sequence = 0

    def next_sequence(self) -> int:
        """Returns the sequence number of the next message."""
        self.sequence += 1
        return self.sequence

    def sign(self, prefix: bytes, body: bytes) -> bytes:
        """Returns the signature over prefix and body."""
        return self.seal_format.sign(self.key, prefix, body)


class MessageOpener:
    """Verifies messages that are signed with any of the valid keys."""

    def __init__(self, keys: Iterable[bytes], seal_format: SealFormat) -> None:
        self.keys = {key_id(key): key for key in keys}
        self.seal_format = seal_format

    def require_known_key(self, signing_key_id: bytes) -> None:
        """Raises AuthenticationError unless a valid key has this id."""
        if signing_key_id not in self.keys:
            raise AuthenticationError(self.seal_format.unknown_key)

    def verify(self, signing_key_id: bytes, prefix: bytes, body: bytes, mac: bytes) -> None:
        """Raises AuthenticationError unless `mac` is this known key's signature over both parts."""
        expected = self.seal_format.sign(self.keys[signing_key_id], prefix, body)
        if not hmac.compare_digest(expected, mac):
            raise AuthenticationError(self.seal_format.invalid_signature)


class ReplayWindow:
    """Tracks which recent sequence numbers of a sender have arrived, as in RFC 4303.

    Bit n of `bitmap` represents the sequence number `highest - n`.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.bitmap = 0

    def accept(self, sequence: int) -> bool:
        """Records the number; returns false if it has arrived before or is below the window."""
        if sequence > self.highest:
            self._advance(sequence)
            return True
        age = self.highest - sequence
        if age >= REPLAY_WINDOW or self.bitmap >> age & 1:
            return False
        self.bitmap |= 1 << age
        return True

    def _advance(self, sequence: int) -> None:
        shift = sequence - self.highest
        self.highest = sequence
        if shift >= REPLAY_WINDOW:
            self.bitmap = 1
            return
        window_mask = (1 << REPLAY_WINDOW) - 1
        self.bitmap = (self.bitmap << shift | 1) & window_mask
