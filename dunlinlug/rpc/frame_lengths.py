"""Reads the sizes of received HTTP/2 frames from their headers, before the payloads arrive.

The HTTP/2 library checks a frame's length only once the complete frame has been received, and
buffers up to 16 MiB for it until then. It keeps the frames of a header block until the last one has
arrived, up to 1 MiB. The frame format is that of RFC 9113, section 4.1. No socket and no clock.
"""

FRAME_HEADER_SIZE = 9  # bytes: three of length, then type, flags and stream id
LENGTH_SIZE = 3
TYPE_POSITION = 3
FLAGS_POSITION = 4
HEADER_BLOCK_TYPES = (1, 9)  # HEADERS and CONTINUATION
END_HEADERS = 4  # flag of the last frame of a header block
CLIENT_PREFACE_SIZE = 24  # bytes that a client sends before the first frame


class FrameLengthReader:
    """Finds frame headers in a byte stream, after `skipped_first` bytes that precede the first.

    At most a part of one frame header is buffered. `header_block_bytes` is the size of the frames
    of the last header block.
    """

    def __init__(self, skipped_first: int) -> None:
        self._bytes_to_skip = skipped_first
        self._partial_header = b""
        self._is_block_open = False
        self.header_block_bytes = 0

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
                self._count_header_block(length)
                self._bytes_to_skip = length
                self._partial_header = b""
        return longest

    def open_block_bytes(self) -> int:
        """Return the bytes of a header block that is not complete; 0 if there is none."""
        return self.header_block_bytes if self._is_block_open else 0

    def _count_header_block(self, length: int) -> None:
        """Add a frame to the header block that it belongs to, or forget the last block."""
        if self._partial_header[TYPE_POSITION] not in HEADER_BLOCK_TYPES:
            return
        previous_bytes = self.header_block_bytes if self._is_block_open else 0
        self.header_block_bytes = previous_bytes + length
        self._is_block_open = not self._partial_header[FLAGS_POSITION] & END_HEADERS
