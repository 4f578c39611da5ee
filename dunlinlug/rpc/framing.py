"""gRPC's length-prefixed messages: one byte of compression flag, four of length, then the message."""

import struct

HEAD = struct.Struct(">BI")


class FramingFault(Exception):
    """A message that this side does not take; `status` is gRPC's code for it."""

    def __init__(self, status: int, said: str) -> None:
        super().__init__(said)
        self.status = status


def frame(message: bytes) -> bytes:
    return HEAD.pack(0, len(message)) + message


class Deframer:
    """Gathers a call's bytes until whole messages are there; never holds more than one message's bound."""

    def __init__(self, most: int) -> None:
        self.most, self.buffer = most, bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self.buffer += data
        whole = []
        while len(self.buffer) >= HEAD.size:
            packed, length = HEAD.unpack_from(self.buffer)
            if packed:
                raise FramingFault(12, "compressed messages are not taken here")
            if length > self.most:  # Danger: a peer could make us hold any amount
                raise FramingFault(
                    8, f"a message of {length} bytes is over the bound of {self.most}"
                )
            if len(self.buffer) < HEAD.size + length:
                break
            whole.append(bytes(self.buffer[HEAD.size : HEAD.size + length]))
            del self.buffer[: HEAD.size + length]
        return whole
