"""gRPC's length-prefixed messages: one byte of compression flag, four of length, then the message."""

import struct

from dunlinlug.errors import DunlinlugError

PREFIX = struct.Struct(">BI")


class FramingError(DunlinlugError):
    """A message that this side does not take; `status` is gRPC's code for it."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def frame(message: bytes) -> bytes:
    return PREFIX.pack(0, len(message)) + message


class Deframer:
    """Gathers a call's bytes until whole messages are there; never holds more than one message's
    bound.
    """

    def __init__(self, max_message_size: int) -> None:
        self.max_message_size = max_message_size
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self.buffer += data
        messages = []
        while len(self.buffer) >= PREFIX.size:
            compressed, length = PREFIX.unpack_from(self.buffer)
            if compressed:
                raise FramingError(12, "compressed messages are not taken here")
            if length > self.max_message_size:  # Danger: a peer could make us hold any amount
                raise FramingError(
                    8, f"a message of {length} bytes is over the bound of {self.max_message_size}"
                )
            if len(self.buffer) < PREFIX.size + length:
                break
            messages.append(bytes(self.buffer[PREFIX.size : PREFIX.size + length]))
            del self.buffer[: PREFIX.size + length]
        return messages
