"""The running manager met over sockets: what goes wrong with one peer stays with that peer."""

import threading
import time
from dataclasses import replace
from pathlib import Path

import grpc as outside
import pytest
import trio
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

from dunlinlug import rpc
from dunlinlug.ads.main import Manager
from dunlinlug.ads.stored_endpoint_list import submit_stored_list
from dunlinlug.config import manager_config
from dunlinlug.net import grpc
from dunlinlug.storage.store import Store, StoreError
from dunlinlug.xds import load_reports, names
from tests.config.test_manager_config import manager_file
from tests.fixtures.manager_process import WORKERS, Running, bound, peer, running, until


async def test_a_joiner_is_bound_and_a_drain_reaches_it(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        run.roster.tell(w2="draining")
        await proxy.until(lambda h: WORKERS[2].id not in h.usable_weights("press-book"))
        assert WORKERS[2].id in proxy.holdings.ejected
        await proxy.until(
            lambda h: all(WORKERS[2].id not in h.tables[t].weights for t, _ in h.routes.values())
        )
        await until(
            lambda: len([s for s in run.said("decided") if s["causes"].get("Acknowledged")]) > 1
        )


async def test_bad_peers_are_told_and_harm_nobody_else(tmp_path: Path) -> None:
    hello = ("store = ", "hello_within = 300ms\nstore = ")
    async with (
        running(tmp_path, hello) as run,
        peer(run, "good") as good,
        grpc.connect(*run.address) as bad,
    ):
        await good.until(bound)
        for path, data, status in [
            (names.DELTA_ADS_METHOD, b"\xff\xff", rpc.Status.INVALID_ARGUMENT),
            ("/no/where", b"", rpc.Status.UNIMPLEMENTED),
            (names.LRS_METHOD, b"\xff\xff", rpc.Status.INVALID_ARGUMENT),
        ]:
            call = bad.start_call(path)
            call.send(data)
            with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError) as ended:
                await call.receive()
            assert ended.value.status == status
        for greeting in (b"", b"GET / HTTP/1.1\r\n\r\n"):
            mute = await trio.open_tcp_stream(*run.address)
            if greeting:
                await mute.send_all(greeting)
            with trio.fail_after(5.0):
                while await mute.receive_some():
                    pass
        run.roster.tell(w1="draining")
        await good.until(lambda h: WORKERS[1].id in h.ejected)


async def test_a_peer_that_reads_nothing_stalls_nobody_and_is_sent_the_newest_state(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run, peer(run, "good") as good, peer(run, "mute") as mute:
        await good.until(bound)
        await mute.until(bound)
        service = run.manager.components.service
        session = service.sessions[service.proxy_numbers["mute"]]
        for n in range(30):
            run.roster.tell(**{f"w{n % 3}": "draining" if n % 6 < 3 else "ready"})
            await until(
                lambda: run.manager.components.endpoint_watcher.state.index == run.roster.index
            )
        await good.until(lambda h: not h.ejected & {w.id for w in WORKERS[:3]})
        assert len(session.in_flight) <= 8, "the rest is merged"
        await good.until(bound)
        await mute.until(lambda h: bound(h) and not h.ejected)


async def test_a_refusal_is_no_answer_is_said_once_and_is_not_sent_again(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        await until(lambda: not run.manager.components.service.sessions[0].in_flight)
        before = dict(proxy.holdings.tables)
        refusals = 0

        async def refuse_tables() -> None:
            nonlocal refusals
            while True:
                data = await proxy.call.receive()
                response = discovery_pb2.DeltaDiscoveryResponse()
                response.ParseFromString(data)
                if any(
                    resource.name not in (names.EJECTIONS_RESOURCE, names.ROUTES_RESOURCE)
                    for resource in response.resources
                ):
                    refusals += 1
                    no = discovery_pb2.DeltaDiscoveryRequest(
                        type_url=response.type_url, response_nonce=response.nonce
                    )
                    no.error_detail.code, no.error_detail.message = 3, "not today"
                    proxy.call.send(no.SerializeToString())
                else:
                    proxy.call.send(proxy.subscriber.receive(data)[0])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(refuse_tables)
            run.roster.tell(w1="gone")
            await until(lambda: bool(run.said("proxy.response_rejected")))
            await trio.sleep(1.5)  # time in which a loop would show
            nursery.cancel_scope.cancel()
        assert run.said("proxy.response_rejected")[0]["why"] == "not today"
        assert refusals <= 4 and len(run.said("proxy.response_rejected")) <= 2 * refusals, (
            "a table, and a route to it"
        )
        assert WORKERS[1].id in proxy.holdings.ejected, (
            "a withdrawal does not fall with the tables beside it"
        )
        held = run.manager.components.loop.module.assignments.proxies[0].tables_in_use  # type: ignore[attr-defined]
        assert any(mark for tables in held.values() for _, mark in tables), (
            "the module was told of no answer"
        )
        assert {t for t, _ in proxy.holdings.routes.values()} <= before.keys()


async def test_a_stream_cut_with_half_a_set_delivered_is_taken_up_by_the_next(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run:
        async with peer(run, "p0") as first:
            with trio.fail_after(5.0):
                while not first.holdings.tables:  # the tables, but not yet the routes
                    await first.take()
            holdings = first.holdings
        await until(lambda: bool(run.said("proxy.disconnected")))
        holdings.tables["gone/1"] = next(iter(holdings.tables.values()))
        holdings.versions[names.ENDPOINTS_TYPE]["gone/1"] = "old"
        async with peer(run, "p0", holdings) as second:
            await second.until(bound)
            await second.until(lambda h: "gone/1" not in h.tables)


async def test_a_proxy_that_dies_between_laid_and_bound_holds_up_no_change(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "stays") as stays:
        await stays.until(bound)
        async with peer(run, "dies") as dies:
            await dies.until(bound)
            run.roster.tell(w4="gone")
            await until(lambda: bool(run.said("discovery.endpoints_changed")))
        await stays.until(
            lambda h: all(WORKERS[4].id not in h.tables[t].weights for t, _ in h.routes.values())
        )


async def test_a_second_stream_of_one_node_replaces_the_first(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as first:
        await first.until(bound)
        async with peer(run, "p0") as second:
            await second.until(bound)
            with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError):
                while True:
                    await first.take()
            assert len(run.manager.components.service.sessions) == 1


async def test_reports_reach_the_module_at_the_agreed_rate(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        call = proxy.link.start_call(names.LRS_METHOD)
        call.send(
            load_reports.encode_report(load_reports.LoadReport("p0", "north", 0.0), is_first=True)
        )
        with trio.fail_after(5.0):
            assert load_reports.decode_response(await call.receive()) == pytest.approx(0.5)
        report = load_reports.LoadReport(
            "p0",
            "north",
            0.5,
            {
                WORKERS[0].id: load_reports.WorkerStatistics(10, 4, 0.6, {"queue": 3.0}),
                "127.0.0.1:9": load_reports.WorkerStatistics(5, 5),
            },
            {"ticket-read": (9, 2), "unknown": (1, 0)},
        )
        call.send(load_reports.encode_report(report, is_first=False))
        module = run.manager.components.loop.module
        await until(lambda: bool(module.admission_controller.arrivals["ticket-read"]))  # type: ignore[attr-defined]
        health, i = module.outlier_detector, module.fleet.row_by_id[WORKERS[0].id]  # type: ignore[attr-defined]
        await until(lambda: bool(health.attempts[i]))
        assert health.failure_rate(i) == pytest.approx(0.4) and "127.0.0.1:9" not in {
            w for _, w in run.manager.components.report_aggregator.endpoint_totals
        }


async def test_the_roster_going_back_or_away_is_lived_with(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        run.roster.tell(index=3, w0="draining")
        await proxy.until(lambda h: WORKERS[0].id in h.ejected)
        run.roster.fault = "error"
        run.roster.tell()
        await until(lambda: bool(run.said("discovery.failed")))
        run.roster.fault = ""
        run.roster.tell(w3="draining")
        await proxy.until(lambda h: WORKERS[3].id in h.ejected)
        assert len(run.said("discovery.failed")) == 1 and run.said("discovery.recovered")


async def test_a_wall_clock_set_back_makes_no_worker_fresh(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        run.roster.workers[5] = replace(WORKERS[5], started_at=1000.0)
        run.roster.tell()
        await until(lambda: bool(run.manager.components.endpoint_watcher.start_times))
        fleet = run.manager.components.loop.module.fleet  # type: ignore[attr-defined]
        await proxy.until(bound)
        run.manager.components.endpoint_watcher.clock_offset = lambda: (
            trio.current_time() - time.time() + 3600.0
        )
        run.roster.tell(w0="draining")
        await proxy.until(lambda h: WORKERS[0].id in h.ejected)
        assert run.said("discovery.endpoints_changed")[-1]["changed"] == [
            f"{WORKERS[0].id} draining"
        ]
        assert fleet.started_at[fleet.row_by_id[WORKERS[5].id]] < trio.current_time() - 3600


async def test_our_own_mistake_with_one_peer_ends_that_link_alone(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        run.manager.components.service.proxy_numbers = None  # type: ignore[assignment]
        async with grpc.connect(*run.address) as other:
            call = other.start_call(names.DELTA_ADS_METHOD)
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=names.ROUTES_TYPE)
            request.node.id = "p1"
            call.send(request.SerializeToString())
            with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError):
                await call.receive()
        run.roster.tell(w1="draining")
        await proxy.until(lambda h: WORKERS[1].id in h.ejected)
        assert "TypeError" in run.said("connection.internal_error")[0]["why"]


async def test_the_list_outlives_the_manager_and_the_store_has_one_writer(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        with pytest.raises(StoreError, match="another manager"):
            Store(tmp_path / "store")
        assert run.manager.components.epoch == 1
    path = manager_file(tmp_path, ("store = unused", f"store = {tmp_path / 'store'}"))
    again = Manager(path, manager_config.load_manager_config(path))
    submit_stored_list(again.components)
    kept = again.components.loop.pending_events[0]
    again.components.store.close()
    assert again.components.epoch == 2 and kept.update_type == "kept"  # type: ignore[union-attr]
    assert [w.id for w in kept.endpoints] == sorted(w.id for w in WORKERS)  # type: ignore[union-attr]


def ask_with_grpcio(
    address: tuple[str, int], done: threading.Event
) -> list[discovery_pb2.DeltaDiscoveryResponse]:
    """An unmodified client that nobody here wrote: subscribes and acknowledges until told that it is done."""
    got: list[discovery_pb2.DeltaDiscoveryResponse] = []
    acks: list[discovery_pb2.DeltaDiscoveryRequest] = []
    more = threading.Condition()
    for type_url in (names.ENDPOINTS_TYPE, names.ROUTES_TYPE):
        request = discovery_pb2.DeltaDiscoveryRequest(
            type_url=type_url, resource_names_subscribe=["*"]
        )
        request.node.id = "outside"
        acks.append(request)

    def requests() -> object:
        while not done.is_set():
            with more:
                more.wait_for(lambda: bool(acks) or done.is_set(), 0.2)
                batch, acks[:] = list(acks), []
            yield from batch

    with outside.insecure_channel(f"{address[0]}:{address[1]}") as channel:
        stream = channel.stream_stream(
            names.DELTA_ADS_METHOD,
            discovery_pb2.DeltaDiscoveryRequest.SerializeToString,
            discovery_pb2.DeltaDiscoveryResponse.FromString,
        )
        for response in stream(requests(), timeout=10.0):
            got.append(response)
            with more:
                acks.append(
                    discovery_pb2.DeltaDiscoveryRequest(
                        type_url=response.type_url, response_nonce=response.nonce
                    )
                )
                more.notify()
    return got


def settled(run: Running) -> bool:
    """Whether the module has heard an answer for all that it ordered for every proxy."""
    proxies = run.manager.components.loop.module.assignments.proxies  # type: ignore[attr-defined]
    return bool(proxies) and all(
        proxy.tables_in_use and not mark
        for proxy in proxies.values()
        for tables in proxy.tables_in_use.values()
        for _, mark in tables
    )


async def test_a_grpcio_client_gets_its_tables_and_its_answers_count(tmp_path: Path) -> None:
    async with running(tmp_path) as run:
        done, got = threading.Event(), list[discovery_pb2.DeltaDiscoveryResponse]()

        async def outside_client() -> None:
            got.extend(await trio.to_thread.run_sync(ask_with_grpcio, run.address, done))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(outside_client)
            try:
                await until(lambda: settled(run))
            finally:
                done.set()
        tables = endpoint_pb2.ClusterLoadAssignment()
        tables.ParseFromString(got[0].resources[0].resource.value)
        named = {
            e.endpoint.address.socket_address.port_value
            for g in tables.endpoints
            for e in g.lb_endpoints
        }
        assert named == {7000 + n for n in range(6)}
        assert [r.type_url for r in got[:2]] == [names.ENDPOINTS_TYPE, names.ROUTES_TYPE], (
            "tables before routes"
        )
