"""Members' words as sealed datagrams, and as one sealed frame on a stream. Free of I/O.

A datagram is its format's version, the key's short name, the sender's boot (drawn at its start), a
number that counts up, a keyed BLAKE2b over all that and the body, and the body in msgpack. One that
came before, or is too old to tell, is refused; so is what no valid key has signed, at the cost of
one check.
"""

import hmac
import struct
from collections import OrderedDict
from hashlib import blake2b

import msgspec

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.membership.messages import MAX_MEMBERS, Message
from dunlinlug.fleet.shared_keys import KEY_ID_BYTES, key_id

FORMAT_VERSION = 1
MAC_BYTES = 16
HEADER = struct.Struct(f">B{KEY_ID_BYTES}s8sQ")
LENGTH = struct.Struct(">I")
# bytes: of nothing
MIN_DATAGRAM_BYTES = HEADER.size + MAC_BYTES
# of what one path carries at the most
MAX_DATAGRAM_BYTES = 1500
MAX_FRAME_BYTES = (
    2**19
)  # bytes of a frame on a stream: all that can be known of as many as ever are
# numbers behind the highest within which order may change: some seconds of the fastest sender
REPLAY_WINDOW = 1024


class DatagramRejectedError(DunlinlugError):
    """A datagram that is not taken; the text is one of a few words, for counting."""


class DatagramSealer:
    """`boot` are eight bytes drawn anew for each start of the process."""

    def __init__(self, key: bytes, session_id: bytes) -> None:
        self.key = key
        self.session_id = session_id
        self.sequence = 0

    def seal(self, message: Message) -> bytes:
        self.sequence += 1
        header = HEADER.pack(FORMAT_VERSION, key_id(self.key), self.session_id, self.sequence)
        body = msgspec.msgpack.encode(message)
        return header + blake2b(header + body, key=self.key, digest_size=MAC_BYTES).digest() + body

    def frame(self, message: Message) -> bytes:
        data = self.seal(message)
        return LENGTH.pack(len(data)) + data


class ReplayWindow:
    """Which of a boot's last numbers came."""

    def __init__(self) -> None:
        self.highest = 0
        self.bitmap = 0

    def accept(self, sequence: int) -> bool:
        """Marks it as seen; false if it was, or if it is too old to tell."""
        if sequence > self.highest:
            self.bitmap = (
                (self.bitmap << sequence - self.highest | 1) & (1 << REPLAY_WINDOW) - 1
                if (sequence - self.highest < REPLAY_WINDOW)
                else 1
            )
            self.highest = sequence
            return True
        age = self.highest - sequence
        if age >= REPLAY_WINDOW or self.bitmap >> age & 1:
            return False
        self.bitmap |= 1 << age
        return True


class DatagramOpener:
    """One or two keys; windows of the boots heard last."""

    def __init__(self, keys: list[bytes]) -> None:
        self.keys = {key_id(key): key for key in keys}
        self.windows: OrderedDict[bytes, ReplayWindow] = OrderedDict()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def open(self, data: bytes) -> Message:
        """Raises Refused."""
        if not MIN_DATAGRAM_BYTES <= len(data) <= MAX_FRAME_BYTES:
            raise DatagramRejectedError("size")
        version, key_name, session_id, sequence = HEADER.unpack_from(data)
        if version != FORMAT_VERSION:
            raise DatagramRejectedError("version")
        if key_name not in self.keys:
            raise DatagramRejectedError("key")
        header = data[: HEADER.size]
        mac = data[HEADER.size : MIN_DATAGRAM_BYTES]
        body = data[MIN_DATAGRAM_BYTES:]
        if not hmac.compare_digest(
            blake2b(header + body, key=self.keys[key_name], digest_size=MAC_BYTES).digest(), mac
        ):
            raise DatagramRejectedError("seal")
        window = self.windows.get(session_id)
        if window is None:
            window = self.windows[session_id] = ReplayWindow()
            if len(self.windows) > 2 * MAX_MEMBERS:
                self.windows.popitem(last=False)
        self.windows.move_to_end(session_id)
        if not window.accept(sequence):
            raise DatagramRejectedError("replay")
        try:
            return self.decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise DatagramRejectedError("words") from None
