"""The peer registry: events from split streams, joins, replaced connections, invalid messages."""

import contextlib
import json
from random import Random

import pytest

from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.platform import connections, messages
from dunlinlug.platform.connections import (
    MAX_COLLECTORS_PER_ZONE,
    MAX_PARTIAL_BYTES,
    ConnectionRejectedError,
    Peer,
    PeerRegistry,
)
from tests.platform.examples import (
    ACKNOWLEDGEMENT,
    COLLECTOR_HELLO,
    DEMAND_REPORT,
    ENDPOINT_REPORT,
    EXAMPLES,
    LIVENESS_PROBE,
    PROXY_HELLO,
)


class RegistryHarness:
    """A registry, with the events that it submits and the peers that it ends."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.ended: list[Peer] = []
        self.registry = PeerRegistry(
            ("a", "b"),
            20,
            ("lookup", "order"),
            lambda worker: worker == "s-5be2a07c",
            self.events.append,
        )

    def connect(self) -> Peer:
        """Return a peer that has sent nothing."""
        peer = Peer(lambda reason: self.ended.append(peer))
        return peer

    def join(self, hello: bytes = PROXY_HELLO) -> Peer:
        """Return a peer that has joined."""
        peer = self.connect()
        self.send(peer, hello)
        return peer

    def send(self, peer: Peer, *lines: bytes, now: float = 1.0) -> bytes:
        """Send lines as a peer, and return the reply."""
        return self.registry.receive(peer, b"".join(line + b"\n" for line in lines), now)


@pytest.fixture
def harness() -> RegistryHarness:
    return RegistryHarness()


def test_a_stream_split_at_any_byte_gives_the_same_events() -> None:
    for cut in range(len(PROXY_HELLO + ACKNOWLEDGEMENT + DEMAND_REPORT) + 4):
        harness = RegistryHarness()
        collector, proxy = harness.connect(), harness.connect()
        for peer, lines in (
            (collector, [COLLECTOR_HELLO, LIVENESS_PROBE, ENDPOINT_REPORT]),
            (proxy, [PROXY_HELLO, ACKNOWLEDGEMENT, DEMAND_REPORT]),
        ):
            data = b"\n".join(lines) + b"\n"
            peer.pending_acks[905] = 0.7
            harness.registry.receive(peer, data[:cut], 1.0)
            harness.registry.receive(peer, data[cut:], 1.0)
        assert harness.events == [
            EndpointReported(
                "a", "s-5be2a07c", 212, 3, 41.7 / 1000, 1.0, {"held": 7.0, "busy": 0.61}
            ),
            ProxyConnected(17, "a", 21.5, True),
            Acknowledged(17, 905, 310.4 / 1000),
            DemandReported(17, "lookup", 19, 0, 1.0),
        ]


def test_a_liveness_probe_is_answered_on_any_connection(harness: RegistryHarness) -> None:
    peer = harness.connect()
    assert (
        harness.send(peer, LIVENESS_PROBE, LIVENESS_PROBE) == 2 * b'{"@type":"alive"}\n'
        and not peer.joined
    )
    assert harness.send(peer, PROXY_HELLO, LIVENESS_PROBE) == b'{"@type":"alive"}\n' and peer.joined


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"\x00\x01",
        b"[1]\n",
        b"{}\n",
        b"42\n",
        b"\n",
        b'{"@type":"probe"\n',
        ENDPOINT_REPORT + b"\n",
        b'{"@type":"push","full":true}\n',
        DEMAND_REPORT + b"\n",
        ACKNOWLEDGEMENT + b"\n",
        PROXY_HELLO.replace(b"17", b"20") + b"\n",
        PROXY_HELLO.replace(b'"a"', b'"c"') + b"\n",
        COLLECTOR_HELLO.replace(b'"a"', b'"c"') + b"\n",
        b'{"@type":"agent","site":7}\n',
        b'{"' + b"x" * messages.MAX_UNJOINED_LINE_BYTES,
        b'{"@type":"probe","x":' + b"[" * 3000 + b"\n",
        PROXY_HELLO[:-1] + b',"rps":-1}\n',
        b'{"@type":"hello","id":17,"site":"a","rps":1,"new":1}\n',
        b'{"@type":"\xff\xfe"}\n',
    ],
)
def test_a_peer_whose_first_message_is_unusable_is_rejected(
    data: bytes, harness: RegistryHarness
) -> None:
    peer = harness.connect()
    with pytest.raises(ConnectionRejectedError):
        harness.registry.receive(peer, data, 1.0)
    assert not peer.joined and not harness.events


INVALID_PROXY_MESSAGES = (
    {"@type": "ack", "id": 17, "ms": 1.0},
    {"@type": "ack", "id": 17, "seq": 3, "ms": -1.0},
    {"@type": "ack", "id": 16, "seq": 3, "ms": 1.0},
    {"@type": "ack", "id": 17, "seq": 3, "ms": 5e5},
    {"@type": "ack", "id": 17, "seq": "3", "ms": 1.0},
    {"@type": "ack", "id": 17, "seq": 4, "ms": 1.0},
    {"@type": "ack", "id": 17, "seq": 3, "ms": None},
    {"@type": "ack", "id": 17, "seq": 3.5, "ms": 1.0},
    {"@type": "demand", "id": 16, "lane": "lookup", "count": 1, "fail": 0, "over": 1.0},
    {"@type": "demand", "id": 17, "lane": "none", "count": 1, "fail": 0, "over": 1.0},
    {"@type": "demand", "id": 17, "lane": "lookup", "count": -1, "fail": 0, "over": 1.0},
    {"@type": "demand", "id": 17, "lane": "lookup", "count": 1, "fail": 0},
    {"@type": "demand", "id": 17, "lane": "lookup", "count": 1, "fail": 0, "over": 1e300},
    {"@type": "nothing"},
    {"id": 17},
    {"@type": ["ack"]},
    {"@type": "hello", "id": 3, "site": "a", "rps": 1, "new": True},
)


INVALID_REPORT_FIELDS = (
    {"target": "s-none"},
    {"site": "c"},
    {"fail": 213},
    {"mean": -1.0},
    {"count": 1.5},
    {"over": None},
    {"util": {"queue": "x"}},
    {"util": [1]},
    {"mean": True},
)


@pytest.mark.parametrize(
    ("hello", "valid", "invalid"),
    [
        *((PROXY_HELLO, DEMAND_REPORT, invalid) for invalid in INVALID_PROXY_MESSAGES),
        *(
            (COLLECTOR_HELLO, ENDPOINT_REPORT, {**json.loads(ENDPOINT_REPORT), **field})
            for field in INVALID_REPORT_FIELDS
        ),
    ],
)
def test_an_invalid_message_is_dropped_and_those_around_it_are_handled(
    hello: bytes, valid: bytes, invalid: dict, harness: RegistryHarness
) -> None:
    peer = harness.join(hello)
    peer.pending_acks.update({3: 0.9, 5: 0.9})
    before = len(harness.events)
    harness.send(peer, valid, json.dumps(invalid).encode(), valid)
    first, second = harness.events[before:]
    assert first == second and isinstance(first, DemandReported | EndpointReported)
    counts = harness.registry.counts
    assert counts["spoilt"] + counts["unasked"] == 1
    assert set(peer.pending_acks) == {3, 5}


def test_an_acknowledgement_is_handled_once_and_covers_earlier_requests(
    harness: RegistryHarness,
) -> None:
    peer = harness.join()
    peer.pending_acks.update({5: 0.5, 6: 0.6, 7: 0.7})
    ack = b'{"@type":"ack","id":17,"seq":6,"ms":100}'
    harness.send(peer, ack, ack)
    assert list(peer.pending_acks) == [7] and harness.events[1:] == [Acknowledged(17, 6, 0.1)]


def test_a_demand_report_may_have_more_failures_than_requests(harness: RegistryHarness) -> None:
    peer = harness.connect()
    harness.send(
        peer,
        PROXY_HELLO,
        b'{"@type":"demand","id":17,"lane":"order","count":0,"fail":1,"over":500.0}',
    )
    assert harness.events[1:] == [DemandReported(17, "order", 0, 1, 0.5)]


def test_a_new_connection_replaces_the_old_one_whose_late_end_changes_nothing(
    harness: RegistryHarness,
) -> None:
    old, new = harness.join(), harness.join()
    assert harness.ended == [old] and harness.registry.peer_by_proxy == {17: new}
    harness.registry.remove_peer(old)
    assert harness.registry.peer_by_proxy == {17: new}
    assert harness.events == [
        ProxyConnected(17, "a", 21.5, True),
        ProxyDisconnected(17),
        ProxyConnected(17, "a", 21.5, True),
    ]
    harness.registry.remove_peer(new)
    assert not harness.registry.peer_by_proxy and harness.events[3:] == [ProxyDisconnected(17)]


def test_a_reporting_collector_is_not_replaced_by_new_collectors(
    harness: RegistryHarness,
) -> None:
    reporting = harness.join(COLLECTOR_HELLO)
    harness.send(reporting, ENDPOINT_REPORT)
    for _ in range(2 * MAX_COLLECTORS_PER_ZONE):
        harness.join(COLLECTOR_HELLO)
    assert (
        reporting not in harness.ended
        and len(harness.registry.collectors["a"]) == MAX_COLLECTORS_PER_ZONE
    )


def test_a_joined_peer_that_sends_malformed_bytes_is_rejected(harness: RegistryHarness) -> None:
    peer = harness.join()
    with pytest.raises(ConnectionRejectedError):
        harness.registry.receive(peer, DEMAND_REPORT + b"\n\x8f\x00garbage", 1.0)
    assert len(harness.events) == 2  # messages before the malformed bytes are handled


def test_fuzzed_peers_do_not_disturb_valid_ones(harness: RegistryHarness) -> None:
    random = Random(20)
    valid = harness.join(PROXY_HELLO.replace(b"17", b"3"))
    for _ in range(4000):
        peer = (
            harness.join(random.choice((PROXY_HELLO, COLLECTOR_HELLO)))
            if random.random() < 0.5
            else harness.connect()
        )
        data = bytearray(
            random.choice([line for line in EXAMPLES if line is not PROXY_HELLO]) + b"\n"
        )
        for _ in range(random.randrange(1, 6)):
            data[random.randrange(len(data))] = random.randrange(256)
        with contextlib.suppress(ConnectionRejectedError):
            harness.registry.receive(peer, bytes(data), 1.0)
        harness.registry.remove_peer(peer)
        harness.events.clear()
        harness.send(valid, DEMAND_REPORT.replace(b"17", b"3"))
        assert harness.events == [
            DemandReported(3, "lookup", 19, 0, 1.0)
        ] and harness.registry.peer_by_proxy == {3: valid}


def test_samples_of_many_kinds_of_error_are_bounded(harness: RegistryHarness) -> None:
    for n in range(1000):
        with pytest.raises(ConnectionRejectedError):
            harness.send(harness.connect(), COLLECTOR_HELLO.replace(b'"a"', b'"none%d"' % n))
        harness.registry.add_sample(f"turned away: {n}", b"x")
    assert len(harness.registry.error_samples) == connections.MAX_SAMPLES


def test_incomplete_messages_are_bounded_in_sum_and_the_largest_ends_first() -> None:
    """Guards against memory that grows with the number of streams that hold back a message."""
    harness = RegistryHarness()
    harness.registry.proxy_count = 400
    hellos = [
        json.dumps({"@type": "hello", "id": n, "site": "a", "rps": 1.0, "new": True}).encode()
        for n in range(400)
    ]
    others = [harness.join(hello) for hello in hellos]
    useful = others.pop(17)  # the proxy of the example
    harness.registry.receive(useful, DEMAND_REPORT[:40], 1.0)
    largest_sum = 0
    for size in (2**19, 2**19 - 10):
        for peer in others:
            with contextlib.suppress(ConnectionRejectedError):
                data = b"{" + b" " * size if size == 2**19 else b" " * size
                harness.registry.receive(peer, data, 1.0)
            largest_sum = max(
                largest_sum, sum(len(each.line_splitter.buffer) for each in [useful, *others])
            )
    assert largest_sum <= MAX_PARTIAL_BYTES
    assert harness.registry.partial_messages.total <= MAX_PARTIAL_BYTES
    assert not useful.ended and len(harness.ended) + sum(each.ended for each in others) > 300
    before = len(harness.events)
    harness.registry.receive(useful, DEMAND_REPORT[40:] + b"\n", 1.0)
    assert isinstance(harness.events[before], DemandReported)
    for peer in [useful, *others]:
        harness.registry.remove_peer(peer)
    assert harness.registry.partial_messages.total == 0
    assert not harness.registry.partial_messages.bytes_by_peer
