"""Frames between members: decoded from chunks of any size, rejected without a valid signature."""

from random import Random

import pytest

from dunlinlug.fleet.election import codec, messages
from dunlinlug.fleet.sealing import AuthenticationError
from tests.fixtures.manager_set import KEYS
from tests.fleet.election.random_messages import random_message


@pytest.fixture
def keys() -> list[bytes]:
    return [bytes.fromhex(key) for key in KEYS]


def test_frames_are_decoded_from_chunks_of_any_size_and_forged_ones_rejected(
    keys: list[bytes],
) -> None:
    rng = Random(5)
    for case in range(300):
        nonce = rng.randbytes(codec.NONCE_BYTES)
        sealer = codec.FrameSealer(keys[case % 2], nonce)
        opener = codec.FrameOpener(keys, nonce)
        sent = [random_message(rng) for _ in range(3)]
        frames = [sealer.frame(message) for message in sent]
        data, received = b"".join(frames), []
        while data:
            length = rng.randrange(1, len(data) + 1)
            received += opener.feed(data[:length])
            data = data[length:]
        assert received == sent
        damaged = bytearray(b"".join(frames))
        damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
        repeated, skipped = frames[0] + frames[0], frames[0] + frames[2]
        for stream in (bytes(damaged), frames[1], repeated, skipped):
            opener, accepted = codec.FrameOpener(keys, nonce), list[messages.Message]()
            try:
                accepted += opener.feed(stream)
                assert accepted in (sent[:1], sent[:2], []), (
                    "a damaged length that is too large leaves the last frame incomplete"
                )
            except AuthenticationError:
                continue
        with pytest.raises(AuthenticationError):
            codec.FrameOpener(keys, rng.randbytes(codec.NONCE_BYTES)).feed(frames[0])
        with pytest.raises(AuthenticationError):
            codec.FrameOpener(keys[:1], nonce).feed(
                codec.FrameSealer(keys[1], nonce).frame(sent[0])
            )


def test_a_body_that_is_no_message_raises_nothing_but_authentication_errors() -> None:
    rng = Random(6)
    for _ in range(3000):
        body = bytearray(codec.encode(random_message(rng)))
        for _ in range(rng.randrange(1, 4)):
            body[rng.randrange(len(body))] = rng.randrange(256)
        try:
            codec.decode(bytes(body[: rng.randrange(1, len(body) + 1)]))
        except AuthenticationError:
            continue
