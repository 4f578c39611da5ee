"""Signing and verifying of messages between managers: keyed BLAKE2b (RFC 7693), free of I/O.

Two codecs build on this and lay out their headers themselves: datagrams of the membership
(`membership/codec.py`) and frames of the two replicated logs (`election/codec.py`). Here is what
both share: who signs, how a signature is checked, which message numbers are new, and the reasons
for which a message is rejected.
"""

import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.shared_keys import key_id

# Sequence numbers below the highest that may still arrive out of order: what the fastest sender
# sends in some seconds.
REPLAY_WINDOW = 1024


class RejectReason(StrEnum):
    """Why a message was not accepted. The values are in logs and counters."""

    # Of a datagram.
    SIZE = "size"
    VERSION = "version"
    UNKNOWN_KEY = "key"
    INVALID_SIGNATURE = "seal"
    REPLAYED = "replay"
    MALFORMED = "words"
    # Of a frame; the connection ends.
    FRAME_UNKNOWN_KEY = "an unknown key"
    FRAME_OUT_OF_BOUNDS = "a frame out of order or over the bound"
    FRAME_INVALID_SIGNATURE = "a frame that its key has not signed"
    FRAME_MALFORMED = "not a message"
    # Of what arrived faster, or at more connections, than a listener takes.
    RATE_EXCEEDED = "rate"
    TOO_MANY_STREAMS = "streams"
    TOO_MANY_CONNECTIONS = "calls"
    INCOMPLETE_STREAM = "frame"


class AuthenticationError(DunlinlugError):
    """A message that no valid key has signed, that is not new, or that cannot be read.

    Attributes:
        reason: Which check it failed: a `RejectReason`, or that of a program that plays faults.
    """

    def __init__(self, reason: StrEnum, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else str(reason))
        self.reason = reason


@dataclass(frozen=True)
class SealFormat:
    """What differs between the two wire formats apart from their headers.

    Attributes:
        mac_bytes: Length of a signature.
        unknown_key: Reason for a message whose key is not one of ours.
        invalid_signature: Reason for a message that its key has not signed.
    """

    mac_bytes: int
    unknown_key: RejectReason
    invalid_signature: RejectReason

    def sign(self, key: bytes, prefix: bytes, body: bytes) -> bytes:
        """The signature over what comes before the body (`prefix`) and the body."""
        return blake2b(prefix + body, key=key, digest_size=self.mac_bytes).digest()


DATAGRAM_SEAL = SealFormat(16, RejectReason.UNKNOWN_KEY, RejectReason.INVALID_SIGNATURE)
FRAME_SEAL = SealFormat(32, RejectReason.FRAME_UNKNOWN_KEY, RejectReason.FRAME_INVALID_SIGNATURE)


class MessageSealer:
    """Signs with one key and numbers what it signs, from 1 up.

    Codecs derive from it and put key id, number and signature into a header of their own.
    """

    def __init__(self, key: bytes, seal_format: SealFormat) -> None:
        self.key = key
        self.key_id = key_id(key)
        self.seal_format = seal_format
        self.sequence = 0

    def next_sequence(self) -> int:
        """The number of the message that is signed next."""
        self.sequence += 1
        return self.sequence

    def sign(self, prefix: bytes, body: bytes) -> bytes:
        """The signature over prefix and body."""
        return self.seal_format.sign(self.key, prefix, body)


class MessageOpener:
    """Verifies what any of the valid keys has signed."""

    def __init__(self, keys: Iterable[bytes], seal_format: SealFormat) -> None:
        self.keys = {key_id(key): key for key in keys}
        self.seal_format = seal_format

    def require_known_key(self, key_name: bytes) -> None:
        """Raises AuthenticationError for a key id that is none of ours."""
        if key_name not in self.keys:
            raise AuthenticationError(self.seal_format.unknown_key)

    def verify(self, key_name: bytes, prefix: bytes, body: bytes, mac: bytes) -> None:
        """Raises AuthenticationError unless this known key has signed prefix and body."""
        expected = self.seal_format.sign(self.keys[key_name], prefix, body)
        if not hmac.compare_digest(expected, mac):
            raise AuthenticationError(self.seal_format.invalid_signature)


class ReplayWindow:
    """Which of a sender's latest sequence numbers have arrived (sliding window as in RFC 4303).

    Bit n of `bitmap` stands for the number `highest - n`.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.bitmap = 0

    def accept(self, sequence: int) -> bool:
        """Notes the number; false if it has arrived before or is too old to tell."""
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
