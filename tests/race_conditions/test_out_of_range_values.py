"""Values that no reader may let through: what one peer sends ends that peer at most.

Each guards against a manager that ends, or that decides by a NaN, after one value of a peer.
"""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from math import inf, nan
from pathlib import Path
from typing import Any

import msgpack
import pytest
import trio
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from dunlinlug import rpc
from dunlinlug.client import ReportAccumulator
from dunlinlug.decision.events import Endpoint, Event, HealthCheckCompleted
from dunlinlug.discovery import entries
from dunlinlug.discovery.blocking_query import MAX_BACKOFF, BlockingQuery
from dunlinlug.fleet.election import codec
from dunlinlug.fleet.membership.load import ManagerLoads
from dunlinlug.fleet.membership.messages import Broadcast
from dunlinlug.fleet.membership.shared_observations import SharedObservations
from dunlinlug.fleet.sealing import AuthenticationError
from dunlinlug.manager.health_checks import HealthChecker, parse_json_report
from dunlinlug.net import grpc, http
from dunlinlug.platform.load_metrics import parse_text_report
from dunlinlug.storage.store import (
    ELECTION_VOTE_KEY,
    EPOCH_KEY,
    OVERRIDES_KEY,
    Store,
    StoreError,
)
from dunlinlug.xds import load_reports, names
from dunlinlug.xds.fencing_term import superseding_term
from dunlinlug.xds.load_reports import WorkerStatistics
from dunlinlug.xds.stream import DeltaStream, StreamProtocolError
from dunlinlug.xds.subscriber import DeltaSubscriber, ProxyState
from tests.admin.test_api import running_with_admin_api
from tests.fixtures.manager_process import WORKERS, has_tables, peer, running, until

DIGITS = b"9" * 400
NESTED = b"[" * 5000 + b"]" * 5000
NUMBERS = [b"NaN", b"Infinity", b"-1", b"1e999", DIGITS, b"9" * 5000, NESTED, b"true", b'"1"']


@asynccontextmanager
async def http_server(body: bytes, **headers: str) -> AsyncIterator[int]:
    """Answer every request with this body; yields the port."""

    async def answer(_request: http.Request) -> http.Response:
        return http.Response(200, {name.replace("_", "-"): headers[name] for name in headers}, body)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(http.serve, answer, listeners)
        yield listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


def bodies_around(before: bytes, after: bytes) -> list[bytes]:
    return [before + number + after for number in NUMBERS] + [NESTED, b"\xff", b"[1]", b"7"]


@pytest.mark.parametrize(
    "body",
    [
        *bodies_around(b'{"queue": ', b"}"),
        *(b"TEXT queue=" + number for number in NUMBERS[:6]),
        b"TEXT " + b",".join(b"m%d=1" % n for n in range(65)),
    ],
    ids=lambda body: body[:24].decode("ascii", "replace"),
)
async def test_a_health_check_answer_with_a_value_out_of_range_is_a_check_without_a_load_report(
    body: bytes,
) -> None:
    # Review case 7: such an answer of one worker ended the manager, as no error was caught.
    events = list[Event]()
    parse_report = parse_text_report if body.startswith(b"TEXT") else parse_json_report
    async with http_server(body) as port:
        checker = HealthChecker(
            "/", 5.0, 1, events.append, lambda _worker: ("127.0.0.1", port), parse_report
        )
        await checker.check("w")
    assert [
        (event.healthy, event.load) for event in events if isinstance(event, HealthCheckCompleted)
    ] == [(True, {})]


def listed_entry(**service: Any) -> dict[str, Any]:
    """An entry of service discovery's answer with these fields of its service replaced."""
    return {
        "Node": {"Datacenter": "north"},
        "Service": {"Address": "127.0.0.1", "Port": 7001, **service},
        "Checks": [],
    }


def answer_with(replacement: bytes, **service: Any) -> bytes:
    """An answer whose value "?" is replaced by these bytes."""
    return json.dumps([listed_entry(**service)]).encode().replace(b'"?"', replacement)


DISCOVERY_ANSWERS = [
    *(answer_with(number, Port="?") for number in NUMBERS if number != b'"1"'),
    answer_with(b"65536", Port="?"),
    *(answer_with(number, Weights={"Passing": "?"}) for number in NUMBERS if number != b'"1"'),
    *(
        answer_with(b'"' + number + b'"', Meta={"started": "?"})
        for number in NUMBERS
        if number not in (b'"1"', b"true")
    ),
    *(answer_with(number, Meta={"started": "?"}) for number in (b"NaN", b"1e999", DIGITS, b"[]")),
    *(answer_with(number, Meta={"cell": "?"}) for number in (b"1e999", DIGITS, b"[7]")),
    *(answer_with(number, Address="?") for number in (b'{"a": 1}', b"[]", b'""', b"null", NESTED)),
    *(answer_with(number, Meta={"zone": "?"}) for number in (b'{"a": 1}', b"[7]", b"7")),
    *(answer_with(number, Meta={"kind": "?"}) for number in (b'{"a": 1}', b"[7]", b"7")),
    json.dumps([{**listed_entry(), "Checks": [{"Status": 7}]}]).encode(),
    NESTED,
]


@pytest.mark.parametrize(
    "body", DISCOVERY_ANSWERS, ids=[f"answer {n}" for n in range(len(DISCOVERY_ANSWERS))]
)
def test_a_discovery_answer_with_a_value_out_of_range_is_rejected_whole(body: bytes) -> None:
    # Such answers ended every manager that watches the list, or put a NaN into its tables.
    with pytest.raises(entries.DiscoveryResponseError):
        entries.decode_workers(body, 0.0)


@pytest.mark.parametrize("index", ["9" * 21, "9" * 5000, "²", "٣", "1.5", "-1", "0", ""])
def test_an_index_of_discovery_that_is_no_64_bit_number_is_rejected(index: str) -> None:
    query = BlockingQuery("nodes", 2.0, lambda low, _high: low)
    with pytest.raises(ValueError, match="not a whole number above 0"):
        query.record_index(index)


def test_the_backoff_stays_at_its_maximum_however_often_discovery_has_failed() -> None:
    # The 1,025th failure in a row, after some three hours, ended the manager with OverflowError.
    query = BlockingQuery("nodes", 2.0, lambda _low, high: high)
    assert [query.next_backoff() for _ in range(3000)][-1] == MAX_BACKOFF


async def test_a_manager_keeps_its_list_while_discovery_answers_with_values_out_of_range(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each of these answers ended the manager, and with it every other member.
    body = b""

    def unsound_or_valid_list(workers: list[Endpoint]) -> bytes:
        return body or encode_workers(workers)

    encode_workers = entries.encode_workers
    monkeypatch.setattr(entries, "encode_workers", unsound_or_valid_list)
    async with running(tmp_path) as run:
        await until(lambda: bool(run.manager.components.installer.zones))
        for n, unsound in enumerate(
            [
                answer_with(b"1e999", Port="?"),
                answer_with(b"NaN", Weights={"Passing": "?"}),
                answer_with(b'"NaN"', Meta={"started": "?"}),
                answer_with(b'{"a": 1}', Meta={"zone": "?"}),
                NESTED,
            ]
        ):
            body = unsound
            run.roster.update()
            await until(lambda: len(run.logged("discovery.failed")) == n + 1)  # noqa: B023
            assert len(run.manager.components.installer.zones) == 6
            body = b""
            await until(lambda: len(run.logged("discovery.recovered")) == n + 1)  # noqa: B023


def metric_report(value: float, attempts: int = 5, window: int = 10**9) -> bytes:
    """A load report with this latency and this metric of one worker."""
    report = load_reports.LoadReport("p0", "north", 1.0, {WORKERS[0].id: WorkerStatistics(5, 1)})
    request = lrs_pb2.LoadStatsRequest.FromString(load_reports.encode_report(report, True))
    request.cluster_stats[0].load_report_interval.FromNanoseconds(window)
    endpoint = request.cluster_stats[0].upstream_locality_stats[0].upstream_endpoint_stats[0]
    endpoint.total_issued_requests = attempts
    endpoint.load_metric_stats[0].total_metric_value = value
    return request.SerializeToString()


UNSOUND_REPORTS = [
    metric_report(nan),
    metric_report(inf),
    metric_report(-1.0),
    metric_report(1e300),
    metric_report(1.0, attempts=2**63),
    metric_report(1.0, window=10**19),
]


async def test_a_load_report_with_a_value_out_of_range_ends_that_stream_alone(
    tmp_path: Path,
) -> None:
    # Review case 2: a latency of NaN put the detector's lists out of order and ended the leader.
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        for body in UNSOUND_REPORTS:
            call = proxy.link.start_call(names.LRS_METHOD)
            call.send(body)
            with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError) as ended:
                while True:
                    await call.receive()
            assert ended.value.status == rpc.Status.INVALID_ARGUMENT
        assert run.manager.components.service.report_aggregator.endpoint_totals == {}
        run.roster.update(w2="draining")
        await proxy.until(lambda state: WORKERS[2].id not in state.usable_weights("press-book"))


@pytest.mark.parametrize("key", ["term", "txns_per_s"])
@pytest.mark.parametrize("number", [nan, inf, -1.0, 1e300])
async def test_a_node_with_a_number_out_of_range_ends_that_stream_alone(
    tmp_path: Path, key: str, number: float
) -> None:
    # A term of 1e300 was adopted by the leader; the rate of a proxy went unchecked into decisions.
    async with running(tmp_path) as run, grpc.connect(*run.address) as link:
        terms = list[int]()
        run.manager.components.service.register_term_observer(terms.append)
        subscriber = DeltaSubscriber(ProxyState(), "p0", "north", {})
        request = discovery_pb2.DeltaDiscoveryRequest.FromString(subscriber.initial_requests()[0])
        request.node.metadata[key] = number
        call = link.start_call(names.DELTA_ADS_METHOD)
        call.send(request.SerializeToString())
        with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError) as ended:
            await call.receive()
        assert ended.value.status == rpc.Status.INVALID_ARGUMENT
        assert not terms and not run.logged("connection.internal_error")


def test_a_rejection_with_a_term_of_fifteen_digits_is_not_taken_for_a_later_leaders() -> None:
    # The next election's term would have had more digits than proxies read in an identifier.
    reason = "term 3 of a is over; term {} has been seen"
    assert superseding_term(reason.format(7)) == 7
    assert superseding_term(reason.format("9" * 15)) == 0


def test_a_workers_metric_out_of_range_is_left_out_of_its_proxys_load_report() -> None:
    # A worker could end the report stream of each proxy that it answered.
    accumulator = ReportAccumulator("p0", "north")
    accumulator.record_attempt("w:80", True, 0.1, {"queue": 2.0, "load": nan, "service_s": -1.0})
    accumulator.record_attempt("w:80", True, 0.1, {f"m{n}": 1.0 for n in range(200)})
    report = accumulator.take_report(1.0)
    assert report.workers["w:80"].load_metrics["queue"] == 2.0
    assert len(report.workers["w:80"].load_metrics) == 64
    decoded = load_reports.decode_report(load_reports.encode_report(report, is_first=False))
    assert "load" not in decoded.workers["w:80"].load_metrics


@pytest.mark.parametrize(
    "change",
    [
        lambda request: request.node.client_features.extend(f"f{n}" for n in range(300)),
        lambda request: request.resource_names_subscribe.append("x" * 600),
        lambda request: request.initial_resource_versions.update({"x": "v" * 600}),
        lambda request: setattr(request.node, "id", "p" * 600),
    ],
)
def test_a_request_with_names_of_great_length_ends_its_stream(
    change: Callable[[discovery_pb2.DeltaDiscoveryRequest], object],
) -> None:
    # A stream kept what its first requests named, up to 10,000 names of up to 16 MiB each.
    subscriber = DeltaSubscriber(ProxyState(), "p0", "north", {})
    request = discovery_pb2.DeltaDiscoveryRequest.FromString(subscriber.initial_requests()[0])
    change(request)
    with pytest.raises(StreamProtocolError):
        DeltaStream().receive(request.SerializeToString())


def override_body(number: bytes) -> bytes:
    return b'{"product": "press-book", "lasts": 9, "weights": {"%s": %s}}' % (
        WORKERS[0].id.encode(),
        number,
    )


async def test_an_override_with_a_value_out_of_range_is_answered_with_the_reason(
    tmp_path: Path,
) -> None:
    # 5,000 brackets or a weight of 400 digits ended the manager.
    names_of_workers = json.dumps([f"w{n}" for n in range(10_001)]).encode()
    async with running_with_admin_api(tmp_path) as (run, client), peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        for body in [
            *(override_body(number) for number in NUMBERS),
            *(b'{"product": "press-book", "lasts": %s}' % number for number in NUMBERS),
            b'{"product": "press-book", "lasts": 9, "only": ' + names_of_workers + b"}",
            b"\xff\xfe",
            NESTED,
        ]:
            for method, path in (("PUT", "/pins"), ("POST", "/pins/propose")):
                status, answer = await client.send(method, path, body)
                assert status == 400 and answer["error"], body[:80]
        assert (await client.activate(only=[WORKERS[0].id]))[0] == 200


@pytest.mark.parametrize(
    "record",
    [NESTED, b"7", b'[{"product": "press-book", "weights": {"w": NaN}}]', b"\xff", b"[{}]"],
)
async def test_a_manager_starts_without_overrides_that_its_store_has_spoilt(
    tmp_path: Path, record: bytes
) -> None:
    # A nested record ended the manager at its start, as did any other when it became the leader.
    store = Store(tmp_path / "store")
    with store.environment.begin(write=True) as transaction:
        transaction.put(OVERRIDES_KEY, record)
    store.close()
    async with running_with_admin_api(tmp_path) as (run, client):
        await until(lambda: bool(run.manager.components.installer.zones))
        assert len(run.logged("store.invalid_overrides")) == 1
        assert (await client.send("GET", "/tables"))[0] == 200


@pytest.mark.parametrize("record", [NESTED, b"7", b"[1]", b'["1", "a", 1, []]', b"\xff"])
def test_a_store_with_a_spoilt_vote_is_refused_with_the_reason(
    tmp_path: Path, record: bytes
) -> None:
    # The manager ended with a traceback after it had begun to serve.
    store = Store(tmp_path)
    with store.environment.begin(write=True) as transaction:
        transaction.put(ELECTION_VOTE_KEY.encode(), record)
    store.close()
    with pytest.raises(StoreError, match="not a vote"):
        Store(tmp_path)


@pytest.mark.parametrize("record", [b"x", b"-1", b"9" * 5000, "٣".encode()])
def test_a_store_with_a_spoilt_epoch_is_refused_with_the_reason(
    tmp_path: Path, record: bytes
) -> None:
    store = Store(tmp_path)
    with store.environment.begin(write=True) as transaction:
        transaction.put(EPOCH_KEY, record)
    with pytest.raises(StoreError, match="is not a number"):
        store.next_epoch()
    store.close()


VALID_VOTE_REQUEST: dict[str, Any] = {
    "term": 3,
    "sender": "a",
    "position": [2, 9],
    "probe": False,
    "handed": False,
}


@pytest.mark.parametrize(
    "field",
    [
        {"term": inf},
        {"term": 2**62},
        {"term": -1},
        {"term": "3"},
        {"sender": 7},
        {"sender": "a" * 600},
        {"position": [2]},
        {"position": [inf, 9]},
        {"position": "29"},
        {"probe": 1},
    ],
    ids=str,
)
def test_a_members_message_with_a_value_out_of_range_is_rejected(field: dict[str, Any]) -> None:
    # A term of infinity raised OverflowError in the nursery of the member that received it.
    assert codec.decode(msgpack.packb(["Ask", VALID_VOTE_REQUEST]))
    with pytest.raises(AuthenticationError):
        codec.decode(msgpack.packb(["Ask", {**VALID_VOTE_REQUEST, **field}]))


def nested_array(depth: int) -> bytes:
    return b"\x91" * depth + b"\x01"


@pytest.mark.parametrize(
    "payload",
    [
        msgpack.packb([1, 1, [1, inf, 0.0, 0.0]]),
        msgpack.packb([1, 1, [1, nan, 0.0, 0.0]]),
        b"\x94\x01\x01\x94\x01\x00\x00\x00" + nested_array(5000),
    ],
    ids=["infinity", "nan", "nested"],
)
def test_a_members_load_out_of_range_is_not_merged(payload: bytes) -> None:
    loads = ManagerLoads("a", 1)
    assert not loads.merge(0.0, Broadcast("burden/b", payload))
    assert loads.current_loads(0.0) == {}


@pytest.mark.parametrize(
    "payload",
    [msgpack.packb([inf, 0.0, 0.0, 0.0]), msgpack.packb([5.0, 1.0, 0.0, nan]), nested_array(5000)],
    ids=["infinity", "nan", "nested"],
)
def test_a_members_observation_out_of_range_is_no_evidence(payload: bytes) -> None:
    observations = SharedObservations("a", 1)
    assert observations.merge(0.0, Broadcast("met/b/1/w", payload)) == []


def length_delimited(field_number: int, body: bytes) -> bytes:
    """A protobuf field with a body of 2**14 to 2**21 bytes."""
    size = len(body)
    length = bytes([size & 127 | 128, size >> 7 & 127 | 128, size >> 14])
    return bytes([field_number << 3 | 2]) + length + body


@pytest.mark.parametrize("depth", [0, 1, 2, 3])
def test_a_load_report_of_very_many_empty_elements_is_not_decoded(
    depth: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A message of 2 MiB with a million empty elements held the whole process up for 3 s.
    fields = [b"\x12\x00", b"\x12\x00", b"\x3a\x00", b"\x2a\x00"]
    body = fields[depth] * 60_000
    for field_number in [2, 2, 7][:depth][::-1]:
        body = length_delimited(field_number, body)
    decoded = list[object]()
    for name in ("_decode_endpoint_statistics", "_decode_worker_statistics"):
        monkeypatch.setattr(load_reports, name, lambda *arguments: decoded.append(arguments))
    with pytest.raises(load_reports.LoadReportError, match="more than 50000 elements"):
        load_reports.decode_report(body)
    assert not decoded
