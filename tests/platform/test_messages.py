"""Encoding and decoding of the platform's messages."""

import json

import pytest

from dunlinlug.platform import messages
from dunlinlug.platform.messages import (
    InvalidMessageError,
    MalformedMessageError,
    TableUpdate,
    encode,
)
from tests.platform.examples import PROXY_HELLO


def test_updates_are_encoded_as_the_protocol_requires() -> None:
    assert json.loads(
        encode(
            TableUpdate(
                traffic_classes=["lookup", "order"],
                replaces_table=True,
                weights=[("s-5be2a07c", 1.5)],
                admitted_fraction=0.9,
                retry_policy=1,
                continued=True,
            )
        )
    ) == {
        "@type": "push",
        "routes": ["lookup", "order"],
        "full": True,
        "endpoints": [["s-5be2a07c", 1.5]],
        "admit": 0.9,
        "policy": 1,
        "continued": True,
    }
    assert encode(TableUpdate(eject=["s-77aa0310"], ack_number=905)) == (
        b'{"@type":"push","eject":["s-77aa0310"],"nonce_out":905}\n'
    )
    assert encode(TableUpdate()) == b'{"@type":"push"}\n'


def test_malformed_bytes_are_distinguished_from_invalid_messages() -> None:
    for line in (b'{"@type":"ack","id":1', b"nonsense", b'{"@type":"none",,}', b""):
        with pytest.raises(MalformedMessageError):
            messages.decode(line)
    for line in (
        b'{"@type":"ack","id":1}',
        b'{"@type":"none"}',
        b'{"a":' + b"[" * 40 + b"]" * 40 + b"}",
    ):
        with pytest.raises(InvalidMessageError):
            messages.decode(line)


def test_nesting_is_bounded_before_anything_is_parsed() -> None:
    deep = (
        PROXY_HELLO[:-1]
        + b',"x":'
        + b"[" * messages.MAX_NESTING
        + b"]" * messages.MAX_NESTING
        + b"}"
    )
    with pytest.raises(InvalidMessageError, match="deep"):
        messages.decode(deep)
    assert messages.decode(PROXY_HELLO[:-1] + b',"x":[[]]}') == messages.ProxyHello(
        17, "a", 21.5, True
    )
