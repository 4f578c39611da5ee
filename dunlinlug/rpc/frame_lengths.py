"""The lengths of received HTTP/2 frames, read from their heads before their payloads have arrived.

The HTTP/2 library looks at a frame's length once the whole frame is there, and holds up to 16 MiB
for it until then. Frames are laid out as RFC 9113 says in section 4.1. No socket and no clock.
"""

FRAME_HEAD_SIZE = 9  # bytes: the length in three of them, then type, flags and stream
LENGTH_SIZE = 3
CLIENT_PREFACE_SIZE = 24  # bytes that a client sends before its first frame


class FrameLengthReader:
    """Follows where frames begin in a stream of bytes; `skipped_first` bytes come before them.

    It keeps at most a part of one frame's head.
    """

    def __init__(self, skipped_first: int) -> None:
        self._bytes_to_skip = skipped_first
        self._partial_head = b""

    def longest(self, data: bytes) -> int:
        """Take bytes; return the greatest length of a payload whose head ended in them, or 0."""
        longest = 0
        position = 0
        while position < len(data):
            skipped = min(self._bytes_to_skip, len(data) - position)
            self._bytes_to_skip -= skipped
            position += skipped
            missing = FRAME_HEAD_SIZE - len(self._partial_head)
            self._partial_head += data[position : position + missing]
            position += missing
            if len(self._partial_head) == FRAME_HEAD_SIZE:
                length = int.from_bytes(self._partial_head[:LENGTH_SIZE], "big")
                longest = max(longest, length)
                self._bytes_to_skip = length
                self._partial_head = b""
        return longest
