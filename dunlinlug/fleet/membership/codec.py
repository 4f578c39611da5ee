"""Membership messages as signed datagrams, and as one signed frame on a stream; free of I/O.

A datagram is, in this order: the format's version (1 byte), the key's id (4), the sender's session
id (8, drawn at its start), a sequence number (8), a keyed BLAKE2b over all that and the body (16),
and the body in msgpack. A frame is its length (4 bytes) and a datagram. One that arrived before, or
is too old to tell, is rejected; so is what no valid key has signed, at the cost of one signature.
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
# bytes of a datagram without a body
MIN_DATAGRAM_BYTES = HEADER.size + DATAGRAM_SEAL.mac_bytes
# bytes that one network path carries at the most
MAX_DATAGRAM_BYTES = 1500
# bytes of a frame on a stream: all that can be known of the largest set of members
MAX_FRAME_BYTES = 2**19
# sessions whose sequence numbers are remembered
MAX_SESSIONS = 2 * MAX_MEMBERS


class DatagramSealer(MessageSealer):
    """Writes datagrams and frames of one start of this process.

    `session_id` are eight bytes drawn anew at each start of the process.
    """

    def __init__(self, key: bytes, session_id: bytes) -> None:
        super().__init__(key, DATAGRAM_SEAL)
        self.session_id = session_id

    def seal(self, message: Message) -> bytes:
        """The message as a datagram."""
        header = HEADER.pack(FORMAT_VERSION, self.key_id, self.session_id, self.next_sequence())
        body = msgspec.msgpack.encode(message)
        return header + self.sign(header, body) + body

    def frame(self, message: Message) -> bytes:
        """The message as a frame on a stream of its own."""
        data = self.seal(message)
        return LENGTH.pack(len(data)) + data


class DatagramOpener(MessageOpener):
    """Reads datagrams of all members; remembers the sequence numbers of their latest sessions."""

    def __init__(self, keys: list[bytes]) -> None:
        super().__init__(keys, DATAGRAM_SEAL)
        self.windows: OrderedDict[bytes, ReplayWindow] = OrderedDict()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def open(self, data: bytes) -> Message:
        """The message of a datagram.

        Raises:
            AuthenticationError: It is not signed by a valid key, not new, or not a message.
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
        """The window of a session; the one that was silent longest makes room for a new one."""
        window = self.windows.get(session_id)
        if window is None:
            window = ReplayWindow()
            self.windows[session_id] = window
            if len(self.windows) > MAX_SESSIONS:
                self.windows.popitem(last=False)
        self.windows.move_to_end(session_id)
        return window
