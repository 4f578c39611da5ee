"""Membership messages as signed datagrams, or as one signed frame on a stream; free of I/O.

A datagram consists of the format version (1 byte), the key id (4), the sender's session id (8,
random for each process start), a sequence number (8), a keyed BLAKE2b over these fields and the
body (16), and the body in msgpack. A frame is its length (4 bytes) followed by a datagram.
Duplicates and datagrams too old for the replay window are rejected; so are datagrams that no valid
key has signed, at the cost of computing one signature.
"""

import struct
from collections import OrderedDict

import msgspec

from dunlinlug.fleet.membership.messages import MAX_MEMBERS, Message
from dunlinlug.fleet.sealing import (
    DATAGRAM_SEAL,
    AuthenticationError,
    MessageOpener,
    MessageSealer,
    RejectReason,
    ReplayWindow,
)
from dunlinlug.fleet.shared_keys import KEY_ID_BYTES

FORMAT_VERSION = 1
HEADER = struct.Struct(f">B{KEY_ID_BYTES}s8sQ")
LENGTH = struct.Struct(">I")
# Size of a datagram with an empty body, in bytes.
MIN_DATAGRAM_BYTES = HEADER.size + DATAGRAM_SEAL.mac_bytes
# Bytes that one packet carries at most on common network paths.
MAX_DATAGRAM_BYTES = 1500
# Largest frame on a stream, in bytes: the full state of the largest cluster.
MAX_FRAME_BYTES = 2**19
# Sessions whose replay windows are kept.
MAX_SESSIONS = 2 * MAX_MEMBERS


class DatagramSealer(MessageSealer):
    """Seals the datagrams and frames of one process start.

    `session_id` has eight random bytes, drawn again at each process start.
    """

    def __init__(self, key: bytes, session_id: bytes) -> None:
        super().__init__(key, DATAGRAM_SEAL)
        self.session_id = session_id

    def seal(self, message: Message) -> bytes:
        """Return the message as a signed datagram."""
        header = HEADER.pack(FORMAT_VERSION, self.key_id, self.session_id, self.next_sequence())
        body = msgspec.msgpack.encode(message)
        return header + self.sign(header, body) + body

    def frame(self, message: Message) -> bytes:
        """Return the message as a frame, for a stream that carries nothing else."""
        data = self.seal(message)
        return LENGTH.pack(len(data)) + data


class DatagramOpener(MessageOpener):
    """Verifies and decodes datagrams of all members, with a replay window per recent session."""

    def __init__(self, keys: list[bytes]) -> None:
        super().__init__(keys, DATAGRAM_SEAL)
        self.windows: OrderedDict[bytes, ReplayWindow] = OrderedDict()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def open(self, data: bytes) -> Message:
        """Return the message of a datagram.

        Raises:
            AuthenticationError: No valid key signed it, it is a replay, or it is malformed.
        """
        if not MIN_DATAGRAM_BYTES <= len(data) <= MAX_FRAME_BYTES:
            raise AuthenticationError(RejectReason.SIZE)
        version, key_name, session_id, sequence = HEADER.unpack_from(data)
        if version != FORMAT_VERSION:
            raise AuthenticationError(RejectReason.VERSION)
        self.require_known_key(key_name)
        header = data[: HEADER.size]
        mac = data[HEADER.size : MIN_DATAGRAM_BYTES]
        body = data[MIN_DATAGRAM_BYTES:]
        self.verify(key_name, header, body, mac)
        if not self._window_of(session_id).accept(sequence):
            raise AuthenticationError(RejectReason.REPLAYED)
        try:
            return self.decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise AuthenticationError(RejectReason.MALFORMED) from None

    def _window_of(self, session_id: bytes) -> ReplayWindow:
        """Return a session's replay window; over the limit, the least recently used is evicted."""
        window = self.windows.get(session_id)
        if window is None:
            window = ReplayWindow()
            self.windows[session_id] = window
            if len(self.windows) > MAX_SESSIONS:
                self.windows.popitem(last=False)
        self.windows.move_to_end(session_id)
        return window
