"""The running manager over sockets: a fault of one peer does not affect another."""

import threading
import time
from dataclasses import replace
from pathlib import Path

import grpc as grpcio
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
from tests.fixtures.manager_process import WORKERS, Running, has_tables, peer, running, until


async def test_a_proxy_that_joins_is_assigned_tables_and_sees_a_drain(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        run.roster.update(w2="draining")
        await proxy.until(lambda state: WORKERS[2].id not in state.usable_weights("press-book"))
        assert WORKERS[2].id in proxy.holdings.ejected
        await proxy.until(
            lambda state: all(
                WORKERS[2].id not in state.tables[table].weights
                for table, _ in state.routes.values()
            )
        )
        await until(
            lambda: len([s for s in run.logged("decided") if s["causes"].get("Acknowledged")]) > 1
        )


async def test_invalid_peers_get_an_error_and_disturb_no_other(tmp_path: Path) -> None:
    hello = ("store = ", "hello_within = 300ms\nstore = ")
    async with (
        running(tmp_path, hello) as run,
        peer(run, "valid") as valid,
        grpc.connect(*run.address) as invalid,
    ):
        await valid.until(has_tables)
        for path, data, status in [
            (names.DELTA_ADS_METHOD, b"\xff\xff", rpc.Status.INVALID_ARGUMENT),
            ("/no/where", b"", rpc.Status.UNIMPLEMENTED),
            (names.LRS_METHOD, b"\xff\xff", rpc.Status.INVALID_ARGUMENT),
        ]:
            call = invalid.start_call(path)
            call.send(data)
            with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError) as ended:
                await call.receive()
            assert ended.value.status == status
        for greeting in (b"", b"GET / HTTP/1.1\r\n\r\n"):
            silent = await trio.open_tcp_stream(*run.address)
            if greeting:
                await silent.send_all(greeting)
            with trio.fail_after(5.0):
                while await silent.receive_some():
                    pass
        run.roster.update(w1="draining")
        await valid.until(lambda state: WORKERS[1].id in state.ejected)


async def test_a_peer_that_does_not_read_blocks_no_other_and_gets_the_newest_state(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run, peer(run, "valid") as valid, peer(run, "slow") as slow:
        await valid.until(has_tables)
        await slow.until(has_tables)
        service = run.manager.components.service
        session = service.sessions[service.proxy_numbers["slow"]]
        for number in range(30):
            run.roster.update(**{f"w{number % 3}": "draining" if number % 6 < 3 else "ready"})
            await until(
                lambda: run.manager.components.endpoint_watcher.state.index == run.roster.index
            )
        await valid.until(lambda state: not state.ejected & {worker.id for worker in WORKERS[:3]})
        assert len(session.in_flight) <= 8, "the rest is merged"
        await valid.until(has_tables)
        await slow.until(lambda state: has_tables(state) and not state.ejected)


async def test_a_rejected_response_is_no_acknowledgement_and_is_not_sent_again(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        await until(lambda: not run.manager.components.service.sessions[0].in_flight)
        tables_before = dict(proxy.holdings.tables)
        rejection_count = 0

        async def reject_tables() -> None:
            nonlocal rejection_count
            while True:
                data = await proxy.call.receive()
                response = discovery_pb2.DeltaDiscoveryResponse()
                response.ParseFromString(data)
                if any(
                    resource.name not in (names.EJECTIONS_RESOURCE, names.ROUTES_RESOURCE)
                    for resource in response.resources
                ):
                    rejection_count += 1
                    rejection = discovery_pb2.DeltaDiscoveryRequest(
                        type_url=response.type_url, response_nonce=response.nonce
                    )
                    rejection.error_detail.code, rejection.error_detail.message = 3, "not today"
                    proxy.call.send(rejection.SerializeToString())
                else:
                    proxy.call.send(proxy.subscriber.receive(data)[0])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(reject_tables)
            run.roster.update(w1="gone")
            await until(lambda: bool(run.logged("proxy.response_rejected")))
            await trio.sleep(1.5)  # long enough for the response to be sent again
            nursery.cancel_scope.cancel()
        assert run.logged("proxy.response_rejected")[0]["why"] == "not today"
        assert (
            rejection_count <= 4
            and len(run.logged("proxy.response_rejected")) <= 2 * rejection_count
        ), "a rejected table leads to at most one rejected route to it"
        assert WORKERS[1].id in proxy.holdings.ejected, (
            "an ejection is not lost with tables in the same response"
        )
        tables_in_use = run.manager.components.loop.module.state.assignments.proxies[
            0
        ].tables_in_use  # type: ignore[attr-defined]
        assert any(ack_number for tables in tables_in_use.values() for _, ack_number in tables), (
            "the rejection must not count as an acknowledgement"
        )
        assert {table for table, _ in proxy.holdings.routes.values()} <= tables_before.keys()


async def test_a_stream_that_ends_with_a_response_set_half_delivered_is_continued_by_the_next(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run:
        async with peer(run, "p0") as first:
            with trio.fail_after(5.0):
                while not first.holdings.tables:  # the tables, but not yet the routes
                    await first.take()
            holdings = first.holdings
        await until(lambda: bool(run.logged("proxy.disconnected")))
        holdings.tables["gone/1"] = next(iter(holdings.tables.values()))
        holdings.versions[names.ENDPOINTS_TYPE]["gone/1"] = "old"
        async with peer(run, "p0", holdings) as second:
            await second.until(has_tables)
            await second.until(lambda state: "gone/1" not in state.tables)


async def test_a_proxy_that_disconnects_before_its_assignment_delays_no_update(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run, peer(run, "stays") as remaining:
        await remaining.until(has_tables)
        async with peer(run, "dies") as disconnecting:
            await disconnecting.until(has_tables)
            run.roster.update(w4="gone")
            await until(lambda: bool(run.logged("discovery.endpoints_changed")))
        await remaining.until(
            lambda state: all(
                WORKERS[4].id not in state.tables[table].weights
                for table, _ in state.routes.values()
            )
        )


async def test_a_second_stream_of_one_node_replaces_the_first(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as first:
        await first.until(has_tables)
        async with peer(run, "p0") as second:
            await second.until(has_tables)
            with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError):
                while True:
                    await first.take()
            assert len(run.manager.components.service.sessions) == 1


async def test_reports_reach_the_module_at_the_configured_rate(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(has_tables)
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
        await until(lambda: bool(module.state.admission_controller.arrivals["ticket-read"]))  # type: ignore[attr-defined]
        detector = module.state.outlier_detector  # type: ignore[attr-defined]
        row = module.state.fleet.row_by_id[WORKERS[0].id]  # type: ignore[attr-defined]
        await until(lambda: bool(detector.attempts[row]))
        assert detector.failure_rate(row) == pytest.approx(0.4) and "127.0.0.1:9" not in {
            worker for _, worker in run.manager.components.report_aggregator.endpoint_totals
        }


async def test_a_lower_index_or_failure_of_discovery_does_not_stop_updates(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        run.roster.update(index=3, w0="draining")
        await proxy.until(lambda state: WORKERS[0].id in state.ejected)
        run.roster.fault = "error"
        run.roster.update()
        await until(lambda: bool(run.logged("discovery.failed")))
        run.roster.fault = ""
        run.roster.update(w3="draining")
        await proxy.until(lambda state: WORKERS[3].id in state.ejected)
        assert len(run.logged("discovery.failed")) == 1 and run.logged("discovery.recovered")


async def test_a_wall_clock_that_is_set_back_restarts_no_slow_start(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        run.roster.workers[5] = replace(WORKERS[5], started_at=1000.0)
        run.roster.update()
        await until(lambda: bool(run.manager.components.endpoint_watcher.start_times))
        fleet = run.manager.components.loop.module.state.fleet  # type: ignore[attr-defined]
        await proxy.until(has_tables)
        run.manager.components.endpoint_watcher.clock_offset = lambda: (
            trio.current_time() - time.time() + 3600.0
        )
        run.roster.update(w0="draining")
        await proxy.until(lambda state: WORKERS[0].id in state.ejected)
        assert run.logged("discovery.endpoints_changed")[-1]["changed"] == [
            f"{WORKERS[0].id} draining"
        ]
        assert fleet.started_at[fleet.row_by_id[WORKERS[5].id]] < trio.current_time() - 3600


async def test_an_internal_error_with_one_peer_ends_that_connection_alone(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        run.manager.components.service.proxy_numbers = None  # type: ignore[assignment]
        async with grpc.connect(*run.address) as other:
            call = other.start_call(names.DELTA_ADS_METHOD)
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=names.ROUTES_TYPE)
            request.node.id = "p1"
            call.send(request.SerializeToString())
            with trio.fail_after(5.0), pytest.raises(grpc.CallEndedError):
                await call.receive()
        run.roster.update(w1="draining")
        await proxy.until(lambda state: WORKERS[1].id in state.ejected)
        assert "TypeError" in run.logged("connection.internal_error")[0]["why"]


async def test_the_endpoint_list_outlives_the_manager_and_the_store_has_one_writer(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        with pytest.raises(StoreError, match="another manager"):
            Store(tmp_path / "store")
        assert run.manager.components.epoch == 1
    path = manager_file(tmp_path, ("store = unused", f"store = {tmp_path / 'store'}"))
    restarted = Manager(path, manager_config.load_manager_config(path))
    submit_stored_list(restarted.components)
    stored_list = restarted.components.loop.pending_events[0]
    restarted.components.store.close()
    assert restarted.components.epoch == 2 and stored_list.update_type == "kept"  # type: ignore[union-attr]
    assert [w.id for w in stored_list.endpoints] == sorted(w.id for w in WORKERS)  # type: ignore[union-attr]


def subscribe_with_grpcio(
    address: tuple[str, int], done: threading.Event
) -> list[discovery_pb2.DeltaDiscoveryResponse]:
    """Subscribe with an unmodified grpcio client, and acknowledge all responses until `done`."""
    responses: list[discovery_pb2.DeltaDiscoveryResponse] = []
    acks: list[discovery_pb2.DeltaDiscoveryRequest] = []
    ack_queued = threading.Condition()
    for type_url in (names.ENDPOINTS_TYPE, names.ROUTES_TYPE):
        request = discovery_pb2.DeltaDiscoveryRequest(
            type_url=type_url, resource_names_subscribe=["*"]
        )
        request.node.id = "outside"
        acks.append(request)

    def requests() -> object:
        while not done.is_set():
            with ack_queued:
                ack_queued.wait_for(lambda: bool(acks) or done.is_set(), 0.2)
                batch, acks[:] = list(acks), []
            yield from batch

    with grpcio.insecure_channel(f"{address[0]}:{address[1]}") as channel:
        stream = channel.stream_stream(
            names.DELTA_ADS_METHOD,
            discovery_pb2.DeltaDiscoveryRequest.SerializeToString,
            discovery_pb2.DeltaDiscoveryResponse.FromString,
        )
        for response in stream(requests(), timeout=10.0):
            responses.append(response)
            with ack_queued:
                acks.append(
                    discovery_pb2.DeltaDiscoveryRequest(
                        type_url=response.type_url, response_nonce=response.nonce
                    )
                )
                ack_queued.notify()
    return responses


def are_all_acknowledged(run: Running) -> bool:
    """Return whether all proxies have acknowledged all tables that the module assigned."""
    proxies = run.manager.components.loop.module.state.assignments.proxies  # type: ignore[attr-defined]
    return bool(proxies) and all(
        proxy.tables_in_use and not ack_number
        for proxy in proxies.values()
        for tables in proxy.tables_in_use.values()
        for _, ack_number in tables
    )


async def test_a_grpcio_client_gets_its_tables_and_its_acknowledgements_count(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run:
        done, responses = threading.Event(), list[discovery_pb2.DeltaDiscoveryResponse]()

        async def run_client() -> None:
            responses.extend(
                await trio.to_thread.run_sync(subscribe_with_grpcio, run.address, done)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_client)
            try:
                await until(lambda: are_all_acknowledged(run))
            finally:
                done.set()
        tables = endpoint_pb2.ClusterLoadAssignment()
        tables.ParseFromString(responses[0].resources[0].resource.value)
        ports = {
            endpoint.endpoint.address.socket_address.port_value
            for group in tables.endpoints
            for endpoint in group.lb_endpoints
        }
        assert ports == {7000 + number for number in range(6)}
        assert [response.type_url for response in responses[:2]] == [
            names.ENDPOINTS_TYPE,
            names.ROUTES_TYPE,
        ], "tables before routes"
