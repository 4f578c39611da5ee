"""The membership's codec and sockets: signed and fuzzed datagrams, several members on loopback."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from hashlib import blake2b
from random import Random
from typing import Any

import msgspec
import pytest
import trio

from dunlinlug.fleet.membership import codec
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    Ack,
    Broadcast,
    MemberState,
    Ping,
    ReachabilityReport,
    StateSync,
)
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.fleet.membership.streams import MAX_DELEGATED_CONNECTIONS
from dunlinlug.fleet.sealing import (
    DATAGRAM_SEAL,
    REPLAY_WINDOW,
    AuthenticationError,
    ReplayWindow,
)
from dunlinlug.fleet.shared_keys import key_id
from tests.fixtures.ports import free_ports

KEY, NEW_KEY = bytes(range(32)), bytes(32)
SENDER = MemberState("a", (3, 1), ALIVE, ("127.0.0.1", 9), "a")
PING = Ping(
    SENDER, "b", 7, b"12345678", (ReachabilityReport("a", (3, 1), ("c",)), Broadcast("k", b"x"))
)


def test_datagrams_round_trip_and_each_damaged_one_is_rejected() -> None:
    sealer, opener = codec.DatagramSealer(KEY, b"boot-one"), codec.DatagramOpener([NEW_KEY, KEY])
    data = sealer.seal(PING)
    assert opener.open(data) == PING
    for damaged, reason in (
        (data, "replay"),
        (data[:20], "size"),
        (b"\2" + data[1:], "version"),
        (codec.DatagramSealer(b"k" * 32, b"boot-two").seal(PING), "key"),
        (data[:-1] + b"?", "seal"),
    ):
        with pytest.raises(AuthenticationError, match=reason):
            opener.open(damaged)


def test_fields_added_by_a_later_version_are_ignored() -> None:
    """Members of two versions run side by side: an earlier version must decode a later one's messages."""

    class LaterAck(msgspec.Struct, array_like=True, tag="a"):
        sender: MemberState
        target: str
        sequence: int
        subject: str
        subject_start_epoch: int
        digest: bytes
        gossip: tuple[Broadcast, ...]
        load: float

    sealer = codec.DatagramSealer(KEY, b"boot-one")
    data = sealer.seal(LaterAck(SENDER, "b", 1, "a", 3, b"", (), 0.5))  # type: ignore[arg-type]
    assert codec.DatagramOpener([KEY]).open(data) == Ack(SENDER, "b", 1, "a", 3, b"")


@pytest.mark.parametrize("seed", range(5))
def test_a_replay_window_accepts_each_number_once_in_any_order(seed: int) -> None:
    rng, window, seen, highest = Random(seed), ReplayWindow(), set[int](), 0
    for _ in range(3000):
        number = max(1, highest + rng.choice([1, 1, 2, -1, -3, -50, -1030, 400]))
        expected = number not in seen and (number > highest or highest - number < REPLAY_WINDOW)
        assert window.accept(number) == expected, (number, highest)
        seen.add(number)
        highest = max(highest, number)


def test_fuzzed_datagrams_raise_only_authentication_errors() -> None:
    """They are signed by a valid key, so that their bodies are decoded."""
    rng, opener = Random(5), codec.DatagramOpener([KEY])
    sync_body, rejected = (
        msgspec.msgpack.encode(StateSync(SENDER, "b", True, (SENDER, PING.gossip[0]))),
        0,
    )
    for n in range(4000):
        body = bytearray(msgspec.msgpack.encode(PING) if n % 2 else sync_body)
        for _ in range(rng.randrange(1, 4)):
            position = rng.randrange(len(body))
            match rng.randrange(3):
                case 0:
                    body[position] = rng.randrange(256)
                case 1:
                    del body[position:]
                    body += b"\x00"
                case 2:
                    body[position:position] = bytes(rng.choices(range(256), k=3))
        header = codec.HEADER.pack(codec.FORMAT_VERSION, key_id(KEY), b"boot-one", n + 1)
        mac = blake2b(header + body, key=KEY, digest_size=DATAGRAM_SEAL.mac_bytes).digest()
        try:
            opener.open(header + mac + bytes(body))
        except AuthenticationError:
            rejected += 1
    assert rejected > 2000


class LoopbackCluster:
    """Some members on loopback, each with its sockets, in one process."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery, self.log = nursery, list[tuple[str, str, dict[str, Any]]]()
        self.members: dict[str, Membership] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.ended: dict[str, trio.Event] = {}
        self.addresses = dict(
            zip("abcde", [("127.0.0.1", port) for port in free_ports(5)], strict=True)
        )

    async def start(
        self, name: str, start_epoch: int = 1, keys: list[bytes] | None = None
    ) -> Membership:
        membership = Membership(
            name,
            start_epoch,
            self.addresses,
            keys or [KEY],
            0.05,
            Random(name),
            lambda event, **fields: self.log.append((name, event, fields)),
            lambda: tuple(self.addresses),
        )
        self.ended[name] = trio.Event()
        self.scopes[name] = await self.nursery.start(self._run, membership)
        self.members[name] = membership
        return membership

    async def _run(
        self, membership: Membership, task_status: trio.TaskStatus[trio.CancelScope]
    ) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(membership.run)
                task_status.started(scope)
        self.ended[membership.self_id].set()

    async def stop(self, name: str) -> None:
        """Stop a member as by SIGKILL, without announcing its departure."""
        self.scopes[name].cancel()
        await self.ended[name].wait()
        del self.members[name]

    async def wait_until(self, condition: Callable[[], bool], timeout: float = 6.0) -> None:
        with trio.fail_after(timeout):
            while not condition():
                await trio.sleep(0.01)

    def all_have_status(self, status: str) -> bool:
        return all(member.partition_status == status for member in self.members.values())


@asynccontextmanager
async def running_cluster(names: str = "abcde") -> AsyncIterator[LoopbackCluster]:
    async with trio.open_nursery() as nursery:
        cluster = LoopbackCluster(nursery)
        for name in names:
            await cluster.start(name)
        await cluster.wait_until(
            lambda: cluster.all_have_status("all" if len(names) == 5 else "most")
        )
        yield cluster
        nursery.cancel_scope.cancel()


async def test_five_members_detect_a_failure_a_leave_and_a_restart() -> None:
    async with running_cluster() as cluster:
        await cluster.stop("e")
        await cluster.wait_until(lambda: cluster.all_have_status("most"))
        failed = [
            fields
            for _, event, fields in cluster.log
            if event == "membership.member_changed" and fields["now"] == "failed"
        ]
        assert {fields["member"] for fields in failed} == {"e"} and all(
            "confirmed by" in fields["why"] or "reported by" in fields["why"] for fields in failed
        )
        cluster.members["d"].leave()
        await cluster.stop("d")
        await cluster.wait_until(
            lambda: all(
                {row["member"]: row["state"] for row in m.describe()["members"]}["d"] == "left"
                for m in cluster.members.values()
            )
        )
        await cluster.start("e", start_epoch=2)
        await cluster.start("d", start_epoch=2)
        await cluster.wait_until(lambda: cluster.all_have_status("all"))
        state = cluster.members["a"].describe()
        assert {row["start"] for row in state["members"]} == {1, 2} and state["standing"] == "all"
        assert len({member.protocol.table.digest() for member in cluster.members.values()}) == 1


async def test_the_sides_of_a_partition_know_their_status_and_rejoin() -> None:
    async with running_cluster() as cluster:
        minority = {cluster.addresses[name] for name in "de"}
        for name, member in cluster.members.items():
            member.transport.is_blocked = (
                lambda address, minority=minority, in_minority=name in "de": (
                    (address in minority) != in_minority
                )
            )  # type: ignore[misc]
        await cluster.wait_until(
            lambda: (
                {name: m.partition_status for name, m in cluster.members.items()}
                == dict(a="most", b="most", c="most", d="few", e="few")
            ),
            15.0,
        )
        assert (
            not cluster.members["d"].partition_limits.may_plan_fleet
            and cluster.members["a"].partition_limits.may_plan_fleet
        )
        for member in cluster.members.values():
            member.transport.is_blocked = lambda address: False
        await cluster.wait_until(lambda: cluster.all_have_status("all"), 15.0)


async def test_a_key_is_rotated_member_by_member_and_invalid_datagrams_are_rejected() -> None:
    async with running_cluster("abc") as cluster:
        outsider = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        for data in (
            b"hello",
            codec.DatagramSealer(b"k" * 32, b"stranger").seal(PING),
            bytes(1400),
        ):
            await outsider.sendto(data, cluster.addresses["a"])
        await cluster.wait_until(
            lambda: sum(cluster.members["a"].transport.rejections.values()) == 3
        )
        for start_epoch, keys in enumerate(([KEY, NEW_KEY], [NEW_KEY, KEY], [NEW_KEY]), 2):
            for name in "abc":
                await cluster.stop(name)
                await cluster.start(name, start_epoch, keys)
                await cluster.wait_until(lambda: cluster.all_have_status("most"))
        outsider.close()


async def test_a_banned_member_is_excluded_until_its_ban_ends() -> None:
    async with running_cluster("abc") as cluster:
        with pytest.raises(ValueError, match="no member known here"):
            cluster.members["a"].set_banned("unknown", True)
        cluster.members["a"].set_banned("c", True)
        await cluster.wait_until(
            lambda: (
                cluster.members["b"].partition_status == "few"
                and cluster.members["c"].protocol.state == "barred"
            )
        )
        cluster.members["b"].set_banned("c", False)
        await cluster.wait_until(lambda: cluster.all_have_status("most"))


async def test_a_key_rotated_during_a_partition_excludes_the_member_with_only_the_old_key() -> None:
    async with running_cluster("abc") as cluster:

        def set_partition(active: bool) -> None:
            for name, member in cluster.members.items():
                far_side = (
                    {cluster.addresses["c"]}
                    if name != "c"
                    else {cluster.addresses["a"], cluster.addresses["b"]}
                )
                member.transport.is_blocked = lambda address, far_side=far_side: (
                    active and address in far_side
                )  # type: ignore[misc]

        set_partition(True)
        await cluster.wait_until(
            lambda: (
                cluster.members["c"].partition_status == "alone"
                and cluster.members["a"].partition_status == "few"
            ),
            15.0,
        )
        for start_epoch, keys in ((5, [KEY, NEW_KEY]), (6, [NEW_KEY, KEY])):
            for name in "ab":
                await cluster.stop(name)
                await cluster.start(name, start_epoch, keys)
                set_partition(True)
        set_partition(False)
        await cluster.wait_until(lambda: cluster.members["c"].transport.rejections["key"] > 5)
        await cluster.wait_until(lambda: cluster.members["a"].partition_status == "few")
        assert cluster.members["c"].partition_status == "alone", (
            "it receives no message signed with a key that it has"
        )
        assert not any(
            fields["now"] == "failed" and fields["member"] in "ab"
            for name, event, fields in cluster.log
            if event == "membership.member_changed" and name in "ab"
        ), "neither a nor b counts the other as failed"
        await cluster.stop("c")
        await cluster.start("c", 2, [KEY, NEW_KEY])
        await cluster.wait_until(lambda: cluster.all_have_status("most"), 15.0)


async def test_connections_of_other_components_are_delegated_up_to_a_limit_beside_frames() -> None:
    async with trio.open_nursery() as nursery:
        cluster, received = LoopbackCluster(nursery), list[bytes]()
        a = await cluster.start("a")

        async def handle(stream: trio.SocketStream, data: bytes) -> None:
            received.append(data)
            await trio.sleep_forever()

        a.transport.register_connection_handler(b"S", handle)
        connections = list[trio.SocketStream]()
        with trio.fail_after(8.0):
            for n in range(MAX_DELEGATED_CONNECTIONS + 1):
                connections.append(await trio.open_tcp_stream(*cluster.addresses["a"]))
                await connections[-1].send_all(b"S\x01b")
                while len(received) < min(n + 1, MAX_DELEGATED_CONNECTIONS):
                    await trio.sleep(0.001)
            assert await connections[-1].receive_some(1) == b"", "closed, since over the limit"
            while not a.transport.rejections["calls"]:
                await trio.sleep(0.001)
        assert (
            a.transport.streams.delegated.open == MAX_DELEGATED_CONNECTIONS
            and received[0][:1] == b"S"
        )
        b = await cluster.start("b")  # joins by a frame on the same port
        with trio.fail_after(5.0):
            while not (a.protocol.is_reachable("b") and b.protocol.is_reachable("a")):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
