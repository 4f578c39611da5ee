"""gRPC's length-prefixed messages: a compression flag byte, four length bytes, then the message.

Source: PROTOCOL-HTTP2.md of gRPC, "Length-Prefixed-Message".
"""

import struct

from dunlinlug.errors import DunlinlugError
from dunlinlug.rpc.status import Status

PREFIX = struct.Struct(">BI")


class FramingError(DunlinlugError):
    """A message that is not accepted; `status` is the status that its call ends with."""

    def __init__(self, status: Status, message: str) -> None:
        super().__init__(message)
        self.status = status


def frame(message: bytes) -> bytes:
    """Return the message with its prefix, uncompressed."""
    return PREFIX.pack(0, len(message)) + message


class Deframer:
    """Assembles a call's bytes into messages; buffers at most one message and one read."""

    def __init__(self, max_message_size: int) -> None:
        self.max_message_size = max_message_size
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the messages that they complete.

        Raises:
            FramingError: A message is compressed or over the size limit.
        """
        self.buffer += data
        messages = []
        while len(self.buffer) >= PREFIX.size:
            compressed, length = PREFIX.unpack_from(self.buffer)
            if compressed:
                raise FramingError(Status.UNIMPLEMENTED, "compressed messages are not taken here")
            # Limits the memory that a peer can make this process use.
            if length > self.max_message_size:
                raise FramingError(
                    Status.RESOURCE_EXHAUSTED,
                    f"a message of {length} bytes is over the bound of {self.max_message_size}",
                )
            if len(self.buffer) < PREFIX.size + length:
                break
            messages.append(bytes(self.buffer[PREFIX.size : PREFIX.size + length]))
            del self.buffer[: PREFIX.size + length]
        return messages
