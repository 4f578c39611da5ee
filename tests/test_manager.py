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

from dunlinlug import rpc, terms
from dunlinlug.ads.main import Manager
from dunlinlug.kept import Kept, KeptFault
from dunlinlug.net import grpc
from dunlinlug.xds import loads, names
from tests.running import WORKERS, Running, bound, peer, running, until
from tests.test_config import manager_file


async def test_a_joiner_is_bound_and_a_drain_reaches_it(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        run.roster.tell(w2="draining")
        await proxy.until(lambda h: WORKERS[2].id not in h.lines("press-book"))
        assert WORKERS[2].id in proxy.holdings.out
        await proxy.until(
            lambda h: all(WORKERS[2].id not in h.tables[t].lines for t, _ in h.routes.values())
        )
        await until(
            lambda: len([s for s in run.said("decided") if s["causes"].get("Answered")]) > 1
        )


async def test_bad_peers_are_told_and_harm_nobody_else(tmp_path: Path) -> None:
    hello = ("store = ", "hello_within = 300ms\nstore = ")
    async with (
        running(tmp_path, hello) as run,
        peer(run, "good") as good,
        grpc.dial(*run.address) as bad,
    ):
        await good.until(bound)
        for path, data, status in [
            (names.ADS, b"\xff\xff", rpc.Status.INVALID_ARGUMENT),
            ("/no/where", b"", rpc.Status.UNIMPLEMENTED),
            (names.LRS, b"\xff\xff", rpc.Status.INVALID_ARGUMENT),
        ]:
            call = bad.call(path)
            call.send(data)
            with trio.fail_after(5.0), pytest.raises(grpc.CallEnded) as ended:
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
        await good.until(lambda h: WORKERS[1].id in h.out)


async def test_a_peer_that_reads_nothing_stalls_nobody_and_is_sent_the_newest_state(
    tmp_path: Path,
) -> None:
    async with running(tmp_path) as run, peer(run, "good") as good, peer(run, "mute") as mute:
        await good.until(bound)
        await mute.until(bound)
        service = run.manager.service
        session = service.sessions[service.numbers["mute"]]
        for n in range(30):
            run.roster.tell(**{f"w{n % 3}": "draining" if n % 6 < 3 else "ready"})
            await until(lambda: run.manager.follower.state.index == run.roster.index)
        await good.until(lambda h: not h.out & {w.id for w in WORKERS[:3]})
        assert len(session.flights) <= 8, "the rest is merged"
        await good.until(bound)
        await mute.until(lambda h: bound(h) and not h.out)


async def test_a_refusal_is_no_answer_is_said_once_and_is_not_sent_again(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        await until(lambda: not run.manager.service.sessions[0].flights)
        before = dict(proxy.holdings.tables)
        refusals = 0

        async def refuse_tables() -> None:
            nonlocal refusals
            while True:
                data = await proxy.call.receive()
                response = discovery_pb2.DeltaDiscoveryResponse()
                response.ParseFromString(data)
                if any(
                    resource.name not in (names.OUT, names.ROUTE) for resource in response.resources
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
            await until(lambda: bool(run.said("proxy.refused")))
            await trio.sleep(1.5)  # time in which a loop would show
            nursery.cancel_scope.cancel()
        assert run.said("proxy.refused")[0]["why"] == "not today"
        assert refusals <= 4 and len(run.said("proxy.refused")) <= 2 * refusals, (
            "a table, and a route to it"
        )
        assert WORKERS[1].id in proxy.holdings.out, (
            "a withdrawal does not fall with the tables beside it"
        )
        held = run.manager.loop.module.seating.proxies[0].holds  # type: ignore[attr-defined]
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
        await until(lambda: bool(run.said("proxy.left")))
        holdings.tables["gone/1"] = next(iter(holdings.tables.values()))
        holdings.versions[names.ENDPOINTS]["gone/1"] = "old"
        async with peer(run, "p0", holdings) as second:
            await second.until(bound)
            await second.until(lambda h: "gone/1" not in h.tables)


async def test_a_proxy_that_dies_between_laid_and_bound_holds_up_no_change(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "stays") as stays:
        await stays.until(bound)
        async with peer(run, "dies") as dies:
            await dies.until(bound)
            run.roster.tell(w4="gone")
            await until(lambda: bool(run.said("roster.news")))
        await stays.until(
            lambda h: all(WORKERS[4].id not in h.tables[t].lines for t, _ in h.routes.values())
        )


async def test_a_second_stream_of_one_node_replaces_the_first(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as first:
        await first.until(bound)
        async with peer(run, "p0") as second:
            await second.until(bound)
            with trio.fail_after(5.0), pytest.raises(grpc.CallEnded):
                while True:
                    await first.take()
            assert len(run.manager.service.sessions) == 1


async def test_reports_reach_the_module_at_the_agreed_rate(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        call = proxy.link.call(names.LRS)
        call.send(loads.write(loads.Loads("p0", "north", 0.0), greeting=True))
        with trio.fail_after(5.0):
            assert loads.read_answer(await call.receive()) == pytest.approx(0.5)
        report = loads.Loads(
            "p0",
            "north",
            0.5,
            {
                WORKERS[0].id: loads.AtWorker(10, 4, 0.6, {"queue": 3.0}),
                "127.0.0.1:9": loads.AtWorker(5, 5),
            },
            {"ticket-read": (9, 2), "unknown": (1, 0)},
        )
        call.send(loads.write(report, greeting=False))
        module = run.manager.loop.module
        await until(lambda: bool(module.gate.came["ticket-read"]))  # type: ignore[attr-defined]
        health, i = module.health, module.fleet.index[WORKERS[0].id]  # type: ignore[attr-defined]
        await until(lambda: bool(health.tries[i]))
        assert health.part(i) == pytest.approx(0.4) and "127.0.0.1:9" not in {
            w for _, w in run.manager.ledger.met
        }


async def test_the_roster_going_back_or_away_is_lived_with(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        run.roster.tell(index=3, w0="draining")
        await proxy.until(lambda h: WORKERS[0].id in h.out)
        run.roster.fault = "error"
        run.roster.tell()
        await until(lambda: bool(run.said("roster.failed")))
        run.roster.fault = ""
        run.roster.tell(w3="draining")
        await proxy.until(lambda h: WORKERS[3].id in h.out)
        assert len(run.said("roster.failed")) == 1 and run.said("roster.back")


async def test_a_wall_clock_set_back_makes_no_worker_fresh(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        run.roster.workers[5] = replace(WORKERS[5], since=1000.0)
        run.roster.tell()
        await until(lambda: bool(run.manager.follower.anchors))
        fleet = run.manager.loop.module.fleet  # type: ignore[attr-defined]
        await proxy.until(bound)
        run.manager.follower.offset = lambda: trio.current_time() - time.time() + 3600.0
        run.roster.tell(w0="draining")
        await proxy.until(lambda h: WORKERS[0].id in h.out)
        assert run.said("roster.news")[-1]["changed"] == [f"{WORKERS[0].id} draining"]
        assert fleet.since[fleet.index[WORKERS[5].id]] < trio.current_time() - 3600


async def test_our_own_mistake_with_one_peer_ends_that_link_alone(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        run.manager.service.numbers = None  # type: ignore[assignment]
        async with grpc.dial(*run.address) as other:
            call = other.call(names.ADS)
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=names.ROUTES)
            request.node.id = "p1"
            call.send(request.SerializeToString())
            with trio.fail_after(5.0), pytest.raises(grpc.CallEnded):
                await call.receive()
        run.roster.tell(w1="draining")
        await proxy.until(lambda h: WORKERS[1].id in h.out)
        assert "TypeError" in run.said("link.fault")[0]["why"]


async def test_the_list_outlives_the_manager_and_the_store_has_one_writer(tmp_path: Path) -> None:
    async with running(tmp_path) as run, peer(run, "p0") as proxy:
        await proxy.until(bound)
        with pytest.raises(KeptFault, match="another manager"):
            Kept(tmp_path / "store")
        assert run.manager.epoch == 1
    path = manager_file(tmp_path, ("store = unused", f"store = {tmp_path / 'store'}"))
    again = Manager(path, terms.read(path))
    again._remember()
    kept = again.loop.inbox[0]
    again.kept.close()
    assert again.epoch == 2 and kept.form == "kept"  # type: ignore[union-attr]
    assert [w.id for w in kept.workers] == sorted(w.id for w in WORKERS)  # type: ignore[union-attr]


def ask_with_grpcio(
    address: tuple[str, int], done: threading.Event
) -> list[discovery_pb2.DeltaDiscoveryResponse]:
    """An unmodified client that nobody here wrote: subscribes and acknowledges until told that it is done."""
    got: list[discovery_pb2.DeltaDiscoveryResponse] = []
    acks: list[discovery_pb2.DeltaDiscoveryRequest] = []
    more = threading.Condition()
    for type_url in (names.ENDPOINTS, names.ROUTES):
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
            names.ADS,
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
    proxies = run.manager.loop.module.seating.proxies  # type: ignore[attr-defined]
    return bool(proxies) and all(
        proxy.holds and not mark
        for proxy in proxies.values()
        for tables in proxy.holds.values()
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
        assert [r.type_url for r in got[:2]] == [names.ENDPOINTS, names.ROUTES], (
            "tables before routes"
        )
