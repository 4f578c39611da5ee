"""The desk, parcels and the proxy's side against a plain model: whatever is merged on the way, a proxy ends up with
just what the orders say, and never routes to a table it has not got."""

from random import Random

import pytest
from envoy.service.discovery.v3 import discovery_pb2

from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.manager.channel import MAX_CATCH_UP_S, PacedChannel
from dunlinlug.xds import encoding, names
from dunlinlug.xds.stream import (
    DeltaStream,
    ResponseAcknowledged,
    ResponseRejected,
    StreamProtocolError,
    UnacknowledgedResponse,
)
from dunlinlug.xds.subscriber import DeltaSubscriber, ProxyState

PRODUCTS = (TrafficClass("read", 0.8, 2.0, 1.0), TrafficClass("book", 0.8, 2.0, 5.0))
WORKERS = [f"127.0.0.1:{port}" for port in range(7000, 7008)]


class Plain:
    """What the orders mean, word for word."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[str, float]] = {}
        self.levels: dict[tuple[int, int], tuple[int, float]] = {}
        self.out: set[str] = set()
        self.bound: dict[int, dict[int, int]] = {}

    def obey(self, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case SetWeight(tbl, worker, weight):
                    self.tables.setdefault(tbl, {})[worker] = weight
                    if not weight:
                        del self.tables[tbl][worker]
                case SetAdmission(tbl, product, retry, share):
                    self.levels[tbl, product] = (retry, share)
                case AssignTable(proxy, products, tbl):
                    self.bound[proxy].update(dict.fromkeys(products, tbl))
                case SetEjected(worker, out):
                    (self.out.add if out else self.out.discard)(worker)

    def lines(self, proxy: int, product: int) -> dict[str, float]:
        table = self.tables[self.bound[proxy][product]]
        return {w: weight for w, weight in table.items() if w not in self.out}


class Peer:
    """A proxy at the end of its stream: what was sent is applied late, in order, and acknowledged."""

    def __init__(self, number: int) -> None:
        self.holdings, self.stream = ProxyState(), DeltaStream()
        self.subscriber = DeltaSubscriber(self.holdings, f"p{number}", "north", {})
        for request in self.subscriber.initial_requests():
            self.stream.receive(request)
        self.owed: ResponseBatch | None = None

    def owe(self, parcel: ResponseBatch) -> None:
        if self.owed is None:
            self.owed = parcel
        else:
            self.owed.merge(parcel)

    def take(self) -> list[int]:
        """Send and apply what is owed; the marks that its answers settle."""
        if self.owed is None:
            return []
        parcel, self.owed = self.owed, None
        steps = [
            (names.ENDPOINTS_TYPE, tuple(parcel.tables.values()), ()),
            (names.ROUTES_TYPE, (parcel.routes,) if parcel.routes else (), ()),
            (names.ENDPOINTS_TYPE, (), tuple(sorted(parcel.removed_tables))),
        ]
        for type_url, resources, removed in steps:
            nonce, data = self.stream.respond(type_url, resources, removed, "")
            answer, done = self.subscriber.receive(data)
            assert not done.rejection_reason
            assert self.stream.receive(answer) == [ResponseAcknowledged(nonce)]
        return [number for number, _ in parcel.ack_requests]


def drawn_orders(chance: Random, plain: Plain, number: int) -> list[Order]:
    """Orders as a module may give them: lines, levels, binds to filled tables, withdrawals, clears of idle tables."""
    tbl, orders = chance.randint(1, 6), list[Order]()
    for worker in chance.sample(WORKERS, 4):
        orders.append(SetWeight(tbl, worker, chance.choice([0.25, 0.5, 1.0])))
    if chance.random() < 0.5:
        orders.append(
            SetAdmission(
                tbl, chance.randrange(2), chance.randrange(4), chance.choice([0.1, 0.5, 1.0])
            )
        )
    if chance.random() < 0.5:
        orders.append(SetEjected(chance.choice(WORKERS), chance.random() < 0.5))
    for proxy in plain.bound:
        if chance.random() < 0.4 or len(plain.bound[proxy]) < 2:
            products = (0, 1) if len(plain.bound[proxy]) < 2 else (chance.randrange(2),)
            orders.append(AssignTable(proxy, products, tbl))
    return [*orders, RequestAcknowledgement(number, chance.random() < 0.3)]


@pytest.mark.parametrize("seed", range(20))
def test_what_a_proxy_holds_is_what_was_ordered(seed: int) -> None:
    chance, plain = Random(seed), Plain()
    desk, peers = XdsTableInstaller(3, PRODUCTS, 1, 4.0), {n: Peer(n) for n in range(3)}
    for n in peers:
        plain.bound[n] = {}
        desk.add_proxy(n, True, ())
    marked: dict[int, list[int]] = {n: [] for n in peers}
    for number in range(1, 40):
        orders = drawn_orders(chance, plain, number)
        plain.obey(orders)
        used = {tbl for bound in plain.bound.values() for tbl in bound.values()}
        idle = [tbl for tbl in plain.tables if tbl not in used]
        if idle:
            orders.insert(-1, DeleteTable(idle[0]))
            del plain.tables[idle[0]]
            for product in range(2):
                plain.levels.pop((idle[0], product), None)
        for n, parcel in desk.apply_orders(orders, float(number)).items():
            peers[n].owe(parcel)
        for n, peer in peers.items():
            if chance.random() < 0.5:
                marked[n] += peer.take()
    for n, peer in peers.items():
        marked[n] += peer.take()
        assert marked[n] == sorted(marked[n])
        for k, product in enumerate(PRODUCTS):
            assert peer.holdings.usable_weights(product.name) == pytest.approx(plain.lines(n, k))
            retry, share = plain.levels.get((plain.bound[n][k], k), (1, 1.0))
            assert peer.holdings.admitted_fraction(product.name) == pytest.approx(share)
            assert peer.holdings.routes[product.name][1].mode == retry
        used = {f"3/{tbl}" for tbl in plain.bound[n].values()}
        assert used <= peer.holdings.tables.keys()


def test_lines_are_counted_as_the_module_counts_them() -> None:
    desk = XdsTableInstaller(1, PRODUCTS, 1, 4.0)
    desk.add_proxy(0, True, ())
    lay: list[Order] = [SetWeight(1, worker, 1.0) for worker in WORKERS[:3]]
    assert (
        desk.apply_orders([*lay, SetEjected(WORKERS[0], True)], 0.0)[0].lines == 4 + 1
    )  # unbound: told all the same
    bound = desk.apply_orders([AssignTable(0, (0, 1), 1), RequestAcknowledgement(1, False)], 1.0)[0]
    assert bound.lines == 4 + 1 + (
        1 + 3 + 1
    )  # head, mark, bind with its lines and the withdrawn one
    assert desk.apply_orders([SetEjected(WORKERS[5], True)], 2.0) == {}  # in no table of it
    assert (
        desk.apply_orders([SetWeight(1, WORKERS[3], 0.5), RequestAcknowledgement(2, True)], 3.0)[
            0
        ].lines
        == 4 + 1 + 1
    )


def test_a_proxy_back_with_old_tables_loses_them_once_it_is_bound_to_new_ones() -> None:
    """Old tables may name workers that this manager never heard of."""
    peer = Peer(0)
    old = encoding.encode_table("9/1", {"127.0.0.1:1": 1.0}, {}, {})
    peer.owe(
        ResponseBatch(
            {old.name: old},
            encoding.encode_routes(
                (("read", "9/1", encoding.RetryPolicy(0)), ("book", "9/1", encoding.RetryPolicy(0)))
            ),
        )
    )
    peer.take()
    desk = XdsTableInstaller(10, PRODUCTS, 1, 4.0)
    peer.stream = DeltaStream()
    for request in DeltaSubscriber(peer.holdings, "p0", "north", {}).initial_requests():
        peer.stream.receive(request)
    assert "9/1" in peer.stream.acked_versions[names.ENDPOINTS_TYPE]
    desk.add_proxy(0, True, peer.stream.acked_versions[names.ENDPOINTS_TYPE])
    peer.owe(
        desk.apply_orders([SetWeight(1, WORKERS[0], 1.0), SetEjected("127.0.0.1:1", True)], 0.0)[0]
    )
    peer.take()
    assert peer.holdings.usable_weights("read") == {}, (
        "withdrawn from a table that another manager wrote"
    )
    peer.owe(desk.apply_orders([AssignTable(0, (0,), 1)], 1.0)[0])
    peer.take()
    assert "9/1" in peer.holdings.tables, "still in use for the other product"
    peer.owe(desk.apply_orders([AssignTable(0, (1,), 1)], 2.0)[0])
    peer.take()
    assert set(peer.holdings.tables) == {"10/1"}


def test_a_plain_xds_client_sees_withdrawals_in_each_table() -> None:
    desk = XdsTableInstaller(1, PRODUCTS, 1, 4.0)
    desk.add_proxy(0, False, ())
    desk.apply_orders(
        [SetWeight(1, w, 1.0) for w in WORKERS[:2]] + [AssignTable(0, (0, 1), 1)], 0.0
    )
    parcel = desk.apply_orders([SetEjected(WORKERS[0], True)], 1.0)[0]
    peer = Peer(0)
    peer.owe(parcel)
    peer.take()
    assert peer.holdings.tables["1/1"].unhealthy == {WORKERS[0]}


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ("double", "named twice"),
        ("weightless", "no weight above 0"),
        ("nowhere", "which is not held"),
        ("garbage", "not a ClusterLoadAssignment"),
        ("in_use", "in use and cannot be taken away"),
    ],
)
def test_a_proxy_refuses_what_it_cannot_apply_and_keeps_what_it_has(change: str, why: str) -> None:
    peer = Peer(0)
    good = encoding.encode_table("1/1", {WORKERS[0]: 1.0, WORKERS[1]: 0.5}, {}, {"read": 0.5})
    peer.owe(
        ResponseBatch(
            {good.name: good}, encoding.encode_routes((("read", "1/1", encoding.RetryPolicy(1)),))
        )
    )
    peer.take()
    before = (dict(peer.holdings.tables), dict(peer.holdings.routes))
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=names.ENDPOINTS_TYPE, nonce="7")
    resource = response.resources.add(name="1/1", version="x")
    from envoy.config.endpoint.v3 import endpoint_pb2

    table = endpoint_pb2.ClusterLoadAssignment(cluster_name="1/1")
    for _ in range(2 if change == "double" else 1):
        entry = table.endpoints.add().lb_endpoints.add()
        (
            entry.endpoint.address.socket_address.address,
            entry.endpoint.address.socket_address.port_value,
        ) = "127.0.0.1", 9
        entry.load_balancing_weight.value = 0 if change == "weightless" else 5
    resource.resource.value = b"\xff\xff" if change == "garbage" else table.SerializeToString()
    if change == "nowhere":
        response.type_url = names.ROUTES_TYPE
        nowhere = encoding.encode_routes((("read", "4/4", encoding.RetryPolicy(0)),))
        response.resources[0].ParseFromString(nowhere.encoded)
    if change == "in_use":
        del response.resources[:]
        response.removed_resources.append("1/1")
    peer.stream.unacknowledged["7"] = UnacknowledgedResponse(response.type_url, (), ())
    answer, done = peer.subscriber.receive(response.SerializeToString())
    assert why in done.rejection_reason
    assert (peer.holdings.tables, peer.holdings.routes) == before
    said = peer.stream.receive(answer)
    assert isinstance(said[0], ResponseRejected) and why in said[0].reason


def test_a_stream_that_does_not_speak_the_protocol_is_told_why() -> None:
    nameless = discovery_pb2.DeltaDiscoveryRequest(type_url=names.ROUTES_TYPE).SerializeToString()
    for data, why in [
        (b"\xff\xff\xff", "not a DeltaDiscoveryRequest"),
        (nameless, "name its node"),
    ]:
        with pytest.raises(StreamProtocolError, match=why):
            DeltaStream().receive(data)
    request = discovery_pb2.DeltaDiscoveryRequest(type_url="type.googleapis.com/other")
    request.node.id = "p"
    with pytest.raises(StreamProtocolError, match="is not served"):
        DeltaStream().receive(request.SerializeToString())


def test_a_stream_that_names_too_much_is_ended() -> None:
    for field in ("subscribe", "held"):
        stream = DeltaStream()
        with pytest.raises(StreamProtocolError, match="more than 10000 resource names"):
            for n in range(3):
                request = discovery_pb2.DeltaDiscoveryRequest(type_url=names.ROUTES_TYPE)
                request.node.id = "p"
                for k in range(4000):
                    if field == "held":
                        request.initial_resource_versions[f"{n}/{k}"] = "1"
                    else:
                        request.resource_names_subscribe.append(f"{n}/{k}")
                stream.receive(request.SerializeToString())


def test_equal_content_has_equal_versions() -> None:
    one = encoding.encode_table("1/1", {WORKERS[0]: 1.0}, {WORKERS[0]: "north"}, {"read": 0.5})
    assert (
        one.version
        == encoding.encode_table(
            "1/1", {WORKERS[0]: 1.0}, {WORKERS[0]: "north"}, {"read": 0.5}
        ).version
    )
    assert (
        one.version
        != encoding.encode_table(
            "1/1", {WORKERS[0]: 0.5}, {WORKERS[0]: "north"}, {"read": 0.5}
        ).version
    )


@pytest.mark.parametrize("seed", range(10))
def test_the_channel_keeps_pace_and_order(seed: int) -> None:
    """Against a plain model: a message has left when all lines before it and its own have passed at the pace."""
    chance = Random(seed)
    channel = PacedChannel(100.0, 50.0, 5, 10.0)
    now, free, due, left = 0.0, 0.0, list[tuple[float, int]](), list[tuple[float, int]]()
    for n in range(200):
        now += chance.uniform(0.0, MAX_CATCH_UP_S / 2)
        left += [(now, int(parcel.ordered_at)) for _, parcel in channel.pop_due(now)]
        if chance.random() < 0.6:
            lines = float(chance.randint(1, 8))
            free = max(free, now) + lines / 100.0
            due.append((free, n))
            waiting = sum(1 for at, _ in due if at > now)
            channel.enqueue(now, 0, ResponseBatch(lines=lines, ordered_at=float(n)))
            assert len(channel.queue) <= waiting + 1
    while (at := channel.next_due_at()) is not None:
        now = max(now, at)
        left += [(now, int(parcel.ordered_at)) for _, parcel in channel.pop_due(now)]
    assert [n for _, n in left] == [n for _, n in due]
    for (at, _), (expected, _) in zip(left, due, strict=True):
        assert expected - 1e-9 <= at <= expected + MAX_CATCH_UP_S


def test_the_channel_names_the_bound_that_is_passed_and_forgets_who_left() -> None:
    channel = PacedChannel(100.0, 50.0, 2, 10.0)
    assert channel.enqueue(0.0, 1, ResponseBatch(lines=40.0)) == []
    assert channel.enqueue(0.0, 2, ResponseBatch(lines=20.0)) == ["waiting_most"]
    assert channel.enqueue(0.1, 1, ResponseBatch(lines=1.0)) == ["waiting_most"]
    assert "messages_most" in channel.enqueue(0.2, 1, ResponseBatch(lines=1.0))
    channel.remove_proxy(2)
    assert channel.queued_entries == 42.0 and [proxy for proxy, _ in channel.queue] == [1, 1, 1]
    channel.set_rate(0.2, 10.0)
    assert channel.next_due_at() == pytest.approx(0.2 + 20.0 / 10.0), (
        "half of the head's lines are left, ten times slower"
    )


def test_after_a_stop_nothing_leaves_in_a_burst() -> None:
    channel = PacedChannel(100.0, 1000.0, 0, 10.0)
    for n in range(20):
        channel.enqueue(0.0, n, ResponseBatch(lines=10.0))
    assert len(channel.pop_due(60.0)) <= 1 + MAX_CATCH_UP_S * 100.0 / 10.0
