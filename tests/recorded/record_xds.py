"""Records bytes of xDS, load reports and gRPC, and the values decoded from them.

    python -m tests.recorded.record_xds    # only for an intended change of the wire format

`encoded()` has the bytes of every encoder, `decoded()` the values that decoders give for these,
`conversations()` the messages of both sides of streams. A message with a map of several entries has
no unique encoding: it is recorded and compared in protobuf's deterministic serialization. Bytes are
recorded in base64; floats are compared exactly.
"""

import base64
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from dunlinlug import rpc
from dunlinlug.rpc import framing
from dunlinlug.xds import (
    decoding,
    encoding,
    fencing_term,
    names,
    state_of_the_world,
    stream,
    subscriber,
)
from dunlinlug.xds import load_reports as xds_load_reports

DATA = Path(__file__).parent / "data" / "xds" / "xds.json"
WEIGHTS = {"10.0.0.1:80": 1.0, "10.0.0.2:8080": 0.0004, "10.0.1.1:80": 2.3456, "host-a:443": 0.1}
ZONES = {"10.0.0.1:80": "south", "10.0.0.2:8080": "north", "10.0.1.1:80": "south"}
EJECTED = ("10.0.1.1:80",)
ADMITTED_FRACTIONS = {"read": 0.75, "book": 1.0, "cancel": 1 / 3}
ROUTES = (
    ("read", "3/1", encoding.RetryPolicy(0)),
    ("book", "3/2", encoding.RetryPolicy(1)),
    ("cancel", "3/2", encoding.RetryPolicy(2, 0.4)),
    ("refund", "3/1", encoding.RetryPolicy(3, 0.0)),
)
MAX_MESSAGE_BYTES = 64  # of a framed message here

Plain = Any  # what JSON can hold


def base64_of(data: bytes) -> str:
    return base64.b64encode(data).decode()


def bytes_of(text: str) -> bytes:
    return base64.b64decode(text)


# Encoded.


def small_table(name: str, worker: str = "10.0.0.1:80") -> encoding.EncodedResource:
    return encoding.encode_table(name, {worker: 1.0}, {worker: "south"}, {})


def resources() -> dict[str, encoding.EncodedResource]:
    return {
        "table": encoding.encode_table("3/1", WEIGHTS, ZONES, ADMITTED_FRACTIONS, EJECTED),
        "table without lines": encoding.encode_table("3/2", {}, {}, {"read": 0.0}),
        "table of one line": small_table("3/2"),
        "nobody is out": encoding.encode_ejections(()),
        "three are out": encoding.encode_ejections(["10.0.1.1:80", "10.0.0.1:80", "host-a:443"]),
        "routes": encoding.encode_routes(ROUTES),
        "no routes": encoding.encode_routes(()),
    }


def full_resources() -> dict[str, state_of_the_world.VersionedResource]:
    return {
        "listener": state_of_the_world.encode_listener("read"),
        "route": state_of_the_world.encode_routes("read", "3/1/read"),
        "cluster": state_of_the_world.encode_cluster("3/1/read"),
        "endpoints": state_of_the_world.encode_endpoints("3/1/read", WEIGHTS, ZONES, 0.75, EJECTED),
        "endpoints, all let in": state_of_the_world.encode_endpoints(
            "3/2/read", {"10.0.0.1:80": 0.0001}, {}, 1.0, ()
        ),
    }


def responses() -> dict[str, bytes]:
    all_resources = resources()
    tables = (all_resources["table"], all_resources["three are out"])
    term = fencing_term.format_identifier(7, "a")
    return {
        "response of tables": encoding.encode_response(names.ENDPOINTS_TYPE, tables, (), "1", "t1"),
        "response that takes away": encoding.encode_response(
            names.ENDPOINTS_TYPE, (), ("3/8", "3/9"), "22", "", term
        ),
        "response of routes": encoding.encode_response(
            names.ROUTES_TYPE, (all_resources["routes"],), (), "3", "t3", term
        ),
    }


def load_report(window: float = 0.5) -> xds_load_reports.LoadReport:
    report = xds_load_reports.LoadReport("p1", "south", window)
    report.workers["10.0.0.1:80"] = xds_load_reports.WorkerStatistics(
        12, 3, 1.1 + 2.2, {"queue": 2.0, "busy": 0.25}
    )
    report.workers["host-a:443"] = xds_load_reports.WorkerStatistics(1, 0, 0.1)
    report.traffic_classes.update({"read": (13, 3), "book": (0, 0)})
    return report


def load_reports() -> dict[str, bytes]:
    return {
        "load report, first": xds_load_reports.encode_report(load_report(), True),
        "load report, later": xds_load_reports.encode_report(load_report(1 / 3), False),
        "load report, empty": xds_load_reports.encode_report(
            xds_load_reports.LoadReport("p2", "", 1.0), False
        ),
        "load report of a plain client": plain_client_report(),
        "load answer": xds_load_reports.encode_response(0.35),
        "load answer, too quick": xds_load_reports.encode_response(0.001),
    }


def plain_client_report() -> bytes:
    """A report of a gRPC client without our extensions: sums by locality, and dropped requests."""
    request = lrs_pb2.LoadStatsRequest()
    request.node.id, request.node.locality.zone = "plain", "north"
    stats = request.cluster_stats.add(cluster_name="3/1/read", total_dropped_requests=4)
    stats.load_report_interval.FromNanoseconds(1_500_000_000)
    for worker, settled, failed in (("10.0.0.1:80", 9, 1), ("10.0.0.2:8080", 5, 0), ("", 2, 2)):
        group = stats.upstream_locality_stats.add(
            total_successful_requests=settled, total_error_requests=failed
        )
        group.locality.zone, group.locality.sub_zone = "north", worker
    return request.SerializeToString(deterministic=True)


def initial_requests() -> dict[str, bytes]:
    """The first requests of a new proxy and of one that has resources; they contain maps."""
    proxy_state = subscriber.ProxyState()
    first_requests = subscriber.DeltaSubscriber(proxy_state, "p1", "south", {}).initial_requests()
    proxy_state.versions[names.ENDPOINTS_TYPE].update(
        {"3/1": "aa", "3/2": "bb", names.EJECTIONS_RESOURCE: "cc"}
    )
    proxy_state.versions[names.ROUTES_TYPE][names.ROUTES_RESOURCE] = "dd"
    proxy_state.fencing_term.rejection_reason(7, "a")
    metadata = {"products": ["read", "book"], "txns_per_s": 8.5}
    repeated_requests = subscriber.DeltaSubscriber(
        proxy_state, "p1", "south", metadata
    ).initial_requests()
    return {
        "greeting for tables": canonical_request(first_requests[0]),
        "greeting for routes": canonical_request(first_requests[1]),
        "greeting with what is held, tables": canonical_request(repeated_requests[0]),
        "greeting with what is held, routes": canonical_request(repeated_requests[1]),
    }


def canonical_request(data: bytes) -> bytes:
    return discovery_pb2.DeltaDiscoveryRequest.FromString(data).SerializeToString(
        deterministic=True
    )


def encoded() -> dict[str, str]:
    bytes_by_name = {name: resource.encoded for name, resource in resources().items()}
    bytes_by_name |= {f"full {name}": body for name, (_, body, _) in full_resources().items()}
    bytes_by_name |= responses() | load_reports() | initial_requests()
    bytes_by_name["frame"] = framing.frame(b"hello")
    bytes_by_name["frame of nothing"] = framing.frame(b"")
    return {name: base64_of(data) for name, data in bytes_by_name.items()}


def versions() -> dict[str, Plain]:
    """By resource its name and version, or in the full form its version and referenced cluster."""
    names_and_versions: dict[str, Plain] = {
        name: [resource.name, resource.version] for name, resource in resources().items()
    }
    return names_and_versions | {
        f"full {name}": [version, cluster]
        for name, (version, _, cluster) in full_resources().items()
    }


# Decoded.


def plain_table(table: decoding.DecodedTable) -> Plain:
    return [
        table.name,
        list(map(list, table.weights.items())),
        list(map(list, table.zones.items())),
        list(map(list, table.admitted_fractions.items())),
        sorted(table.unhealthy),
    ]


def plain_routes(routes: dict[str, tuple[str, encoding.RetryPolicy]]) -> Plain:
    return [
        [product, name, retry_policy.mode, retry_policy.attempt_timeout]
        for product, (name, retry_policy) in routes.items()
    ]


def plain_loads(report: xds_load_reports.LoadReport) -> Plain:
    return {
        "node": report.node_id,
        "zone": report.zone,
        "span": report.window,
        "workers": [
            [
                worker,
                at.attempts,
                at.failed,
                at.total_latency,
                list(map(list, at.load_metrics.items())),
                at.untimed_successes,
            ]
            for worker, at in report.workers.items()
        ],
        "products": [[name, *sums] for name, sums in report.traffic_classes.items()],
    }


def plain_event(event: stream.StreamEvent) -> Plain:
    match event:
        case stream.NodeIdentified(node):
            return ["greeted", node]
        case stream.ResponseAcknowledged(nonce):
            return ["acked", nonce]
        case stream.ResponseRejected(nonce, reason):
            return ["refused", nonce, reason]
    raise TypeError(event)


def plain_applied(applied: subscriber.AppliedResponse) -> Plain:
    return [
        applied.type_url,
        applied.tag,
        applied.entry_count,
        applied.rejection_reason,
        list(applied.control_plane),
    ]


def plain_versions(versions_by_type: dict[str, dict[str, str]]) -> Plain:
    return {
        type_url: dict(sorted(versions.items())) for type_url, versions in versions_by_type.items()
    }


def plain_server(server: stream.DeltaStream) -> Plain:
    return {
        "node": server.node_id,
        "zone": server.zone,
        "metadata": server.metadata,
        "features": sorted(server.features),
        "held": plain_versions(server.acked_versions),
        "subscribed": {
            name: sorted(resource_names) for name, resource_names in server.subscribed.items()
        },
        "sent": sorted(server.unacknowledged),
        "ready": server.is_ready(),
    }


def resource_value(wrapped: bytes) -> bytes:
    return discovery_pb2.Resource.FromString(wrapped).resource.value


def decoded(recorded_bytes: dict[str, str]) -> dict[str, Plain]:
    """The values that decoders give for recorded bytes."""
    data = {name: bytes_of(text) for name, text in recorded_bytes.items()}
    values: dict[str, Plain] = {}
    for name in ("table", "table without lines", "table of one line", *EJECTION_TABLES):
        values[name] = plain_table(decoding.decode_table(resource_value(data[name])))
    for name in ("routes", "no routes"):
        values[name] = plain_routes(decoding.decode_routes(resource_value(data[name])))
    for name in load_reports():
        if name.startswith("load report"):
            values[name] = plain_loads(xds_load_reports.decode_report(data[name]))
    for name in ("load answer", "load answer, too quick"):
        values[name] = xds_load_reports.decode_response(data[name])
    for kind in ("greeting", "greeting with what is held,"):
        server = stream.DeltaStream()
        tables, routes = INITIAL_REQUESTS[kind]
        events = [
            plain_event(each) for name in (tables, routes) for each in server.receive(data[name])
        ]
        values[kind] = [events, plain_server(server)]
    values["frames"] = deframed([data["frame"], data["frame of nothing"]], MAX_MESSAGE_BYTES)
    return values


EJECTION_TABLES = ("nobody is out", "three are out")
INITIAL_REQUESTS = {
    "greeting": ("greeting for tables", "greeting for routes"),
    "greeting with what is held,": (
        "greeting with what is held, tables",
        "greeting with what is held, routes",
    ),
}


def deframed(chunks: list[bytes], max_bytes: int) -> Plain:
    reader = framing.Deframer(max_bytes)
    return [[base64_of(message) for message in reader.feed(chunk)] for chunk in chunks]


# Conversations.


def delta_conversation() -> Plain:
    """Delta ADS: responses that the proxy applies, or rejects for their content or their term."""
    server, proxy_state = stream.DeltaStream(), subscriber.ProxyState()
    proxy = subscriber.DeltaSubscriber(proxy_state, "p1", "south", {"products": ["read"]})
    steps: list[Plain] = []
    for request in proxy.initial_requests():
        events = [plain_event(each) for each in server.receive(request)]
        steps.append(["request", base64_of(canonical_request(request)), events])
    all_resources = resources()
    twice = encoding.encode_routes((("read", "9/9", encoding.RetryPolicy(0)),))
    used_routes = encoding.encode_routes((("read", "3/1", encoding.RetryPolicy(3, 0.2)),))
    control = fencing_term.format_identifier(7, "a")
    script: list[tuple[str, str, tuple[encoding.EncodedResource, ...], tuple[str, ...]]] = [
        (
            control,
            names.ENDPOINTS_TYPE,
            (all_resources["table"], all_resources["three are out"]),
            (),
        ),
        (control, names.ROUTES_TYPE, (twice,), ()),
        (control, names.ROUTES_TYPE, (used_routes,), ()),
        (control, names.ENDPOINTS_TYPE, (), ("3/1",)),
        (control, names.ENDPOINTS_TYPE, (small_table("3/5"), all_resources["nobody is out"]), ()),
        (control, names.ENDPOINTS_TYPE, (), ("3/5",)),
        (fencing_term.format_identifier(6, "b"), names.ENDPOINTS_TYPE, (small_table("3/6"),), ()),
        (fencing_term.format_identifier(7, "b"), names.ENDPOINTS_TYPE, (small_table("3/6"),), ()),
        ("dunlinlug", names.ENDPOINTS_TYPE, (small_table("3/6"),), ()),
        (
            fencing_term.format_identifier(8, "b"),
            names.ENDPOINTS_TYPE,
            (all_resources["table without lines"],),
            (),
        ),
    ]
    for number, (identifier, type_url, sent, removed) in enumerate(script):
        server.control_plane_id = identifier
        nonce, data = server.respond(type_url, sent, removed, f"t{number}")
        answer, applied = proxy.receive(data)
        events = [plain_event(each) for each in server.receive(answer)]
        steps.append(
            [nonce, base64_of(data), plain_applied(applied), base64_of(answer), events]
            + [proxy_state.usable_weights("read"), proxy_state.admitted_fraction("read")]
        )
    return {
        "steps": steps,
        "server": plain_server(server),
        "versions": plain_versions(proxy_state.versions),
        "tables": sorted(proxy_state.tables),
        "out": sorted(proxy_state.ejected),
        "fence": [proxy_state.fencing_term.term, proxy_state.fencing_term.member],
    }


def full_request(
    type_url: str, resource_names: tuple[str, ...], nonce: str = "", reason: str = ""
) -> bytes:
    request = discovery_pb2.DiscoveryRequest(
        type_url=type_url, resource_names=resource_names, response_nonce=nonce
    )
    request.node.id, request.node.locality.zone = "plain", "north"
    request.node.metadata.update({"txns_per_s": 4.0})
    if reason:
        request.error_detail.code, request.error_detail.message = 3, reason
    return request.SerializeToString(deterministic=True)


def resources_of_table(number: int, weight: float) -> state_of_the_world.ResourcesByType:
    """The resources of two traffic classes whose tables have this number."""
    resources_by_type: state_of_the_world.ResourcesByType = {
        type_url: {} for type_url in state_of_the_world.TYPE_ORDER
    }
    for product in ("read", "book"):
        name = names.cluster_name(names.table_name(3, number), product)
        resources_by_type[names.LISTENERS_TYPE][product] = state_of_the_world.encode_listener(
            product
        )
        resources_by_type[names.ROUTES_TYPE][product] = state_of_the_world.encode_routes(
            product, name
        )
        resources_by_type[names.CLUSTERS_TYPE][name] = state_of_the_world.encode_cluster(name)
        resources_by_type[names.ENDPOINTS_TYPE][name] = state_of_the_world.encode_endpoints(
            name, {"10.0.0.1:80": weight}, {}, 1.0, ()
        )
    return resources_by_type


def full_conversation() -> Plain:
    """State-of-the-world ADS: the client acknowledges, rejects once, and gets another table."""
    server, steps = state_of_the_world.StateOfTheWorldStream(), list[Plain]()
    server.control_plane_id = fencing_term.format_identifier(7, "a")

    def ask(type_url: str, *resource_names: str, nonce: str = "", reason: str = "") -> None:
        request = full_request(type_url, resource_names, nonce, reason)
        events = [plain_event(each) for each in server.receive(request)]
        steps.append(["request", base64_of(request), events])

    def respond() -> None:
        responses_sent = [
            [type_url, nonce, list(sent), base64_of(data)]
            for type_url, nonce, sent, data in server.pending_responses()
        ]
        steps.append(
            [
                "responses",
                responses_sent,
                server.is_ready(),
                server.is_converged(),
                server.has_sent_all(),
            ]
        )

    server.resources = resources_of_table(1, 1.0)
    ask(names.LISTENERS_TYPE, "read", "unknown")
    respond()
    ask(names.LISTENERS_TYPE, "read", nonce="1")
    ask(names.ROUTES_TYPE, "read")
    ask(names.CLUSTERS_TYPE, "3/1/read")
    ask(names.ENDPOINTS_TYPE, "3/1/read")
    respond()
    ask(names.ROUTES_TYPE, "read", nonce="4")
    ask(names.CLUSTERS_TYPE, "3/1/read", nonce="2")
    ask(names.ENDPOINTS_TYPE, "3/1/read", nonce="3", reason="no such locality")
    respond()
    server.resources = resources_of_table(1, 0.5)
    respond()
    ask(names.ENDPOINTS_TYPE, "3/1/read", nonce="3")
    ask(names.ENDPOINTS_TYPE, "3/1/read", nonce="5")
    respond()
    server.resources = resources_of_table(2, 0.5)
    ask(names.CLUSTERS_TYPE, "3/1/read", "3/2/read")
    ask(names.ENDPOINTS_TYPE, "3/1/read", "3/2/read")
    respond()
    server.close_type(names.ENDPOINTS_TYPE)
    respond()
    return {
        "steps": steps,
        "node": [server.node_id, server.zone, server.metadata],
        "sent": plain_versions(server.sent_versions),
        "refused": plain_versions(server.rejected_versions),
    }


def protocol_errors() -> dict[str, str]:
    """Errors for peers that break the protocol, without the texts of protobuf's parser."""

    def text(act: Callable[[], object]) -> str:
        try:
            act()
        except (
            stream.StreamProtocolError,
            decoding.DecodingError,
            xds_load_reports.LoadReportError,
        ) as error:
            return str(error).split(": Error parsing")[0]
        except framing.FramingError as error:
            return f"{error.status} {error}"
        raise AssertionError("no fault")

    rubbish = b"\xff\xff\xff"
    nameless = discovery_pb2.DeltaDiscoveryRequest(
        type_url=names.ENDPOINTS_TYPE
    ).SerializeToString()
    nameless_full = discovery_pb2.DiscoveryRequest(type_url=names.ROUTES_TYPE).SerializeToString()
    other = discovery_pb2.DeltaDiscoveryRequest(type_url="x")
    other.node.id = "p1"
    unknown = other.SerializeToString()
    many = tuple(map(str, range(stream.MAX_RESOURCE_NAMES + 1)))
    proxy = subscriber.DeltaSubscriber(subscriber.ProxyState(), "p1", "", {})
    return {
        "delta, rubbish": text(lambda: stream.DeltaStream().receive(rubbish)),
        "delta, nameless": text(lambda: stream.DeltaStream().receive(nameless)),
        "delta, unknown type": text(lambda: stream.DeltaStream().receive(unknown)),
        "full, rubbish": text(lambda: state_of_the_world.StateOfTheWorldStream().receive(rubbish)),
        "full, nameless": text(
            lambda: state_of_the_world.StateOfTheWorldStream().receive(nameless_full)
        ),
        "full, unknown type": text(
            lambda: state_of_the_world.StateOfTheWorldStream().receive(full_request("x", ()))
        ),
        "full, other type": text(
            lambda: state_of_the_world.StateOfTheWorldStream().receive(
                full_request(names.ROUTES_TYPE, ()), names.CLUSTERS_TYPE
            )
        ),
        "full, many names": text(
            lambda: state_of_the_world.StateOfTheWorldStream().receive(
                full_request(names.ROUTES_TYPE, many)
            )
        ),
        "response, rubbish": text(lambda: proxy.receive(rubbish)),
        "table, rubbish": text(lambda: decoding.decode_table(rubbish)),
        "routes, rubbish": text(lambda: decoding.decode_routes(rubbish)),
        "load report, rubbish": text(lambda: xds_load_reports.decode_report(rubbish)),
        "load answer, rubbish": text(lambda: xds_load_reports.decode_response(rubbish)),
        "frame, compressed": text(
            lambda: framing.Deframer(MAX_MESSAGE_BYTES).feed(b"\x01\x00\x00\x00\x01x")
        ),
        "frame, too large": text(
            lambda: framing.Deframer(MAX_MESSAGE_BYTES).feed(framing.frame(bytes(65)))
        ),
    }


def fencing_term_cases() -> Plain:
    decisions, fence = list[Plain](), fencing_term.FencingTerm()
    for term, member in ((0, ""), (3, "a"), (3, "a"), (3, "b"), (2, "b"), (0, ""), (4, "b")):
        reason = fence.rejection_reason(term, member)
        decisions.append([term, member, reason, fencing_term.superseding_term(reason)])
    identifiers = ("term 12 of a-b.c:1", "dunlinlug", "term x of a", "term 1 of ")
    return {
        "written": fencing_term.format_identifier(12, "a-b.c:1"),
        "read": [[text, *fencing_term.parse_identifier(text)] for text in identifiers],
        "admitted": decisions,
    }


def wire_names() -> Plain:
    return {
        "types": [
            names.ENDPOINTS_TYPE,
            names.ROUTES_TYPE,
            names.LISTENERS_TYPE,
            names.CLUSTERS_TYPE,
        ],
        "paths": [
            names.DELTA_ADS_METHOD,
            names.STATE_OF_THE_WORLD_ADS_METHOD,
            names.LRS_METHOD,
            dict(names.SINGLE_TYPE_METHODS),
        ],
        "resources": [
            names.EJECTIONS_RESOURCE,
            names.ROUTES_RESOURCE,
            names.EJECTION_OVERLAY_FEATURE,
            names.NOT_EXECUTED_HEADER,
            names.PREVIOUS_HOSTS_PREDICATE,
        ],
        "metrics": [
            names.REQUESTS_METRIC,
            names.FAILED_REQUESTS_METRIC,
            names.SUCCESS_LATENCY_METRIC,
            names.LOAD_METRIC_PREFIX,
        ],
        "table": names.table_name(3, 17),
        "cluster": names.cluster_name("3/17", "read/all"),
        "product": [names.traffic_class_of(text) for text in ("3/17/read/all", "3/17", "workers")],
    }


def plain_rpc(event: rpc.Event) -> Plain:
    match event:
        case rpc.CallStarted(number, path, metadata):
            return ["called", number, path, list(map(list, metadata))]
        case rpc.HeadersReceived(number):
            return ["opened", number]
        case rpc.MessageReceived(number, data):
            return ["message", number, base64_of(data)]
        case rpc.HalfClosed(number):
            return ["half closed", number]
        case rpc.TrailersReceived(number, status, text):
            return ["trailers", number, int(status), text]
        case rpc.CallReset(number, reason):
            return ["reset", number, reason]
        case rpc.ConnectionClosed(reason):
            return ["closed", reason]
    raise TypeError(event)


def grpc_conversation() -> Plain:
    """Two calls over one connection: one ends with a status and a message, one is cancelled."""
    client, server = rpc.Connection(is_client=True), rpc.Connection(is_client=False)
    steps: list[Plain] = []

    def move(source: rpc.Connection, target: rpc.Connection) -> None:
        data = source.data_to_send()
        steps.append([base64_of(data), [plain_rpc(event) for event in target.receive(data)]])

    first = client.start_call(names.DELTA_ADS_METHOD, "manager")
    client.send(first, b"one")
    move(client, server)
    server.accept(first)
    server.send(first, b"two")
    server.send(first, b"")
    move(server, client)
    move(client, server)
    second = client.start_call(names.LRS_METHOD, "manager")
    client.half_close(first)
    move(client, server)
    server.finish(first, rpc.Status.RESOURCE_EXHAUSTED, "messages come too fast: 100% ä")
    move(server, client)
    client.cancel(second)
    move(client, server)
    server.ping()
    move(server, client)
    client.close()
    move(client, server)
    return steps


def conversations() -> dict[str, Plain]:
    return {
        "delta": delta_conversation(),
        "full": full_conversation(),
        "faults": protocol_errors(),
        "fence": fencing_term_cases(),
        "names": wire_names(),
        "grpc": grpc_conversation(),
    }


def recorded() -> dict[str, Plain]:
    encoded_bytes = encoded()
    return {
        "written": encoded_bytes,
        "versions": versions(),
        "read": decoded(encoded_bytes),
        "conversations": conversations(),
    }


def main() -> None:
    DATA.parent.mkdir(parents=True, exist_ok=True)
    DATA.write_text(json.dumps(recorded(), indent=1, ensure_ascii=False) + "\n")


if __name__ == "__main__":
    main()
