"""Members' words as sealed datagrams, and as one sealed frame on a stream. Free of I/O.

A datagram is its format's version, the key's short name, the sender's boot (drawn at its start), a number that counts
up, a keyed BLAKE2b over all that and the body, and the body in msgpack. One that came before, or is too old to tell,
is refused; so is what no valid key has signed, at the cost of one check.
"""

import hmac
import struct
from collections import OrderedDict
from hashlib import blake2b

import msgspec

from dunlinlug.fleet.keys import NAME, short
from dunlinlug.fleet.members.words import MOST, Message

VERSION = 1
MAC = 16
HEAD = struct.Struct(f">B{NAME}s8sQ")
LENGTH = struct.Struct(">I")
SMALLEST, DATAGRAM = (
    HEAD.size + MAC,
    1500,
)  # bytes: of nothing; of what one path carries at the most
FRAME = 2**19  # bytes of a frame on a stream: all that can be known of as many as ever are
WINDOW = 1024  # numbers behind the highest within which order may change: some seconds of the fastest sender


class Refused(Exception):
    """A datagram that is not taken; the text is one of a few words, for counting."""


class Sealer:
    """`boot` are eight bytes drawn anew for each start of the process."""

    def __init__(self, key: bytes, boot: bytes) -> None:
        self.key, self.boot, self.number = key, boot, 0

    def seal(self, message: Message) -> bytes:
        self.number += 1
        head = HEAD.pack(VERSION, short(self.key), self.boot, self.number)
        body = msgspec.msgpack.encode(message)
        return head + blake2b(head + body, key=self.key, digest_size=MAC).digest() + body

    def frame(self, message: Message) -> bytes:
        data = self.seal(message)
        return LENGTH.pack(len(data)) + data


class Window:
    """Which of a boot's last numbers came."""

    def __init__(self) -> None:
        self.highest, self.seen = 0, 0

    def fresh(self, number: int) -> bool:
        """Marks it as seen; false if it was, or if it is too old to tell."""
        if number > self.highest:
            self.seen = (
                (self.seen << number - self.highest | 1) & (1 << WINDOW) - 1
                if (number - self.highest < WINDOW)
                else 1
            )
            self.highest = number
            return True
        back = self.highest - number
        if back >= WINDOW or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


class Opener:
    """One or two keys; windows of the boots heard last."""

    def __init__(self, keys: list[bytes]) -> None:
        self.keys = {short(key): key for key in keys}
        self.windows: OrderedDict[bytes, Window] = OrderedDict()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def open(self, data: bytes) -> Message:
        """Raises Refused."""
        if not SMALLEST <= len(data) <= FRAME:
            raise Refused("size")
        version, name, boot, number = HEAD.unpack_from(data)
        if version != VERSION:
            raise Refused("version")
        if name not in self.keys:
            raise Refused("key")
        head, mac, body = data[: HEAD.size], data[HEAD.size : SMALLEST], data[SMALLEST:]
        if not hmac.compare_digest(
            blake2b(head + body, key=self.keys[name], digest_size=MAC).digest(), mac
        ):
            raise Refused("seal")
        window = self.windows.get(boot)
        if window is None:
            window = self.windows[boot] = Window()
            if len(self.windows) > 2 * MOST:
                self.windows.popitem(last=False)
        self.windows.move_to_end(boot)
        if not window.fresh(number):
            raise Refused("replay")
        try:
            return self.decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise Refused("words") from None
