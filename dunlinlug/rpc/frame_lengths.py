"""Reads the lengths of received HTTP/2 frames from their headers, before the payloads arrive.

The HTTP/2 library checks a frame's length only once the complete frame has been received, and
buffers up to 16 MiB for it until then. The frame format is that of RFC 9113, section 4.1. No socket
and no clock.
"""

FRAME_HEADER_SIZE = 9  # bytes: three of length, then type, flags and stream id
LENGTH_SIZE = 3
CLIENT_PREFACE_SIZE = 24  # bytes that a client sends before the first frame


class FrameLengthReader:
    """Finds frame headers in a byte stream, after `skipped_first` bytes that precede the first.

    At most a part of one frame header is buffered.
    """

    def __init__(self, skipped_first: int) -> None:
        self._bytes_to_skip = skipped_first
        self._partial_header = b""

    def longest(self, data: bytes) -> int:
        """Return the greatest payload length among the frame headers completed by `data`, or 0."""
        longest = 0
        position = 0
        while position < len(data):
            skipped = min(self._bytes_to_skip, len(data) - position)
            self._bytes_to_skip -= skipped
            position += skipped
            missing = FRAME_HEADER_SIZE - len(self._partial_header)
            self._partial_header += data[position : position + missing]
            position += missing
            if len(self._partial_header) == FRAME_HEADER_SIZE:
                length = int.from_bytes(self._partial_header[:LENGTH_SIZE], "big")
                longest = max(longest, length)
                self._bytes_to_skip = length
                self._partial_header = b""
        return longest
