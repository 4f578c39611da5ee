"""The membership's wire and sockets: sealed datagrams, fuzzed ones, several members on loopback,
the command.
"""

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

KEY, NEW = bytes(range(32)), bytes(32)
OWN = MemberState("a", (3, 1), ALIVE, ("127.0.0.1", 9), "a")
PING = Ping(
    OWN, "b", 7, b"12345678", (ReachabilityReport("a", (3, 1), ("c",)), Broadcast("k", b"x"))
)


def test_words_come_back_and_each_damage_is_refused() -> None:
    sealer, opener = codec.DatagramSealer(KEY, b"boot-one"), codec.DatagramOpener([NEW, KEY])
    data = sealer.seal(PING)
    assert opener.open(data) == PING
    for bad, why in (
        (data, "replay"),
        (data[:20], "size"),
        (b"\2" + data[1:], "version"),
        (codec.DatagramSealer(b"k" * 32, b"boot-two").seal(PING), "key"),
        (data[:-1] + b"?", "seal"),
    ):
        with pytest.raises(AuthenticationError, match=why):
            opener.open(bad)


def test_a_later_format_s_further_fields_are_left_out() -> None:
    """Old and new side by side: what a later version adds at the end, an earlier one reads without."""

    class Later(msgspec.Struct, array_like=True, tag="a"):
        own: MemberState
        to: str
        seq: int
        of: str
        lived: int
        digest: bytes
        gossip: tuple[Broadcast, ...]
        load: float

    sealer = codec.DatagramSealer(KEY, b"boot-one")
    data = sealer.seal(Later(OWN, "b", 1, "a", 3, b"", (), 0.5))  # type: ignore[arg-type]
    assert codec.DatagramOpener([KEY]).open(data) == Ack(OWN, "b", 1, "a", 3, b"")


@pytest.mark.parametrize("seed", range(5))
def test_a_window_takes_each_number_once_in_any_order(seed: int) -> None:
    chance, window, seen, highest = Random(seed), ReplayWindow(), set[int](), 0
    for _ in range(3000):
        number = max(1, highest + chance.choice([1, 1, 2, -1, -3, -50, -1030, 400]))
        plain = number not in seen and (number > highest or highest - number < REPLAY_WINDOW)
        assert window.accept(number) == plain, (number, highest)
        seen.add(number)
        highest = max(highest, number)


def test_fuzzed_datagrams_raise_nothing_but_refusals() -> None:
    """Signed by a key of ours, so that the words themselves are read."""
    chance, opener = Random(5), codec.DatagramOpener([KEY])
    whole, refused = msgspec.msgpack.encode(StateSync(OWN, "b", True, (OWN, PING.gossip[0]))), 0
    for n in range(4000):
        body = bytearray(msgspec.msgpack.encode(PING) if n % 2 else whole)
        for _ in range(chance.randrange(1, 4)):
            at = chance.randrange(len(body))
            match chance.randrange(3):
                case 0:
                    body[at] = chance.randrange(256)
                case 1:
                    del body[at:]
                    body += b"\x00"
                case 2:
                    body[at:at] = bytes(chance.choices(range(256), k=3))
        head = codec.HEADER.pack(codec.FORMAT_VERSION, key_id(KEY), b"boot-one", n + 1)
        mac = blake2b(head + body, key=KEY, digest_size=DATAGRAM_SEAL.mac_bytes).digest()
        try:
            opener.open(head + mac + bytes(body))
        except AuthenticationError:
            refused += 1
    assert refused > 2000


class Members:
    """Some members on loopback, each with its sockets, in one process."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery, self.log = nursery, list[tuple[str, str, dict[str, Any]]]()
        self.members: dict[str, Membership] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.ended: dict[str, trio.Event] = {}
        self.places = dict(
            zip("abcde", [("127.0.0.1", port) for port in free_ports(5)], strict=True)
        )

    async def start(self, name: str, born: int = 1, keys: list[bytes] | None = None) -> Membership:
        made = Membership(
            name,
            born,
            self.places,
            keys or [KEY],
            0.05,
            Random(name),
            lambda event, **said: self.log.append((name, event, said)),
            lambda: tuple(self.places),
        )
        self.ended[name] = trio.Event()
        self.scopes[name] = await self.nursery.start(self._run, made)
        self.members[name] = made
        return made

    async def _run(self, made: Membership, task_status: trio.TaskStatus[trio.CancelScope]) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(made.run)
                task_status.started(scope)
        self.ended[made.self_id].set()

    async def stop(self, name: str) -> None:
        """As by SIGKILL: without a goodbye."""
        self.scopes[name].cancel()
        await self.ended[name].wait()
        del self.members[name]

    async def until(self, seen: Callable[[], bool], within: float = 6.0) -> None:
        with trio.fail_after(within):
            while not seen():
                await trio.sleep(0.01)

    def stand(self, name: str) -> bool:
        return all(member.partition_status == name for member in self.members.values())


@asynccontextmanager
async def members(names: str = "abcde") -> AsyncIterator[Members]:
    async with trio.open_nursery() as nursery:
        made = Members(nursery)
        for name in names:
            await made.start(name)
        await made.until(lambda: made.stand("all" if len(names) == 5 else "most"))
        yield made
        nursery.cancel_scope.cancel()


async def test_five_on_loopback_know_a_death_a_goodbye_and_a_return() -> None:
    async with members() as run:
        await run.stop("e")
        await run.until(lambda: run.stand("most"))
        failed = [
            said
            for _, event, said in run.log
            if event == "membership.member_changed" and said["now"] == "failed"
        ]
        assert {said["member"] for said in failed} == {"e"} and all(
            "witnesses" in s["why"] or "says so" in s["why"] for s in failed
        )
        run.members["d"].leave()
        await run.stop("d")
        await run.until(
            lambda: all(
                {row["member"]: row["state"] for row in m.describe()["members"]}["d"] == "left"
                for m in run.members.values()
            )
        )
        await run.start("e", born=2)
        await run.start("d", born=2)
        await run.until(lambda: run.stand("all"))
        state = run.members["a"].describe()
        assert {row["start"] for row in state["members"]} == {1, 2} and state["standing"] == "all"
        assert len({member.protocol.table.digest() for member in run.members.values()}) == 1


async def test_two_cut_sides_know_where_they_stand_and_come_together() -> None:
    async with members() as run:
        few = {run.places[name] for name in "de"}
        for name, member in run.members.items():
            member.transport.is_blocked = lambda place, few=few, own=name in "de": (
                (place in few) != own
            )  # type: ignore[misc]
        await run.until(
            lambda: (
                {name: m.partition_status for name, m in run.members.items()}
                == dict(a="most", b="most", c="most", d="few", e="few")
            ),
            15.0,
        )
        assert (
            not run.members["d"].partition_limits.may_plan_fleet
            and run.members["a"].partition_limits.may_plan_fleet
        )
        for member in run.members.values():
            member.transport.is_blocked = lambda place: False
        await run.until(lambda: run.stand("all"), 15.0)


async def test_a_key_is_changed_member_by_member_and_a_stranger_says_nothing() -> None:
    async with members("abc") as run:
        stranger = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        for data in (
            b"hello",
            codec.DatagramSealer(b"k" * 32, b"stranger").seal(PING),
            bytes(1400),
        ):
            await stranger.sendto(data, run.places["a"])
        await run.until(lambda: sum(run.members["a"].transport.rejections.values()) == 3)
        for born, step in enumerate(([KEY, NEW], [NEW, KEY], [NEW]), 2):
            for name in "abc":
                await run.stop(name)
                await run.start(name, born, step)
                await run.until(lambda: run.stand("most"))
        stranger.close()


async def test_a_member_that_is_barred_is_out_until_it_is_let_in() -> None:
    async with members("abc") as run:
        with pytest.raises(ValueError, match="no member known here"):
            run.members["a"].set_banned("nobody", True)
        run.members["a"].set_banned("c", True)
        await run.until(
            lambda: (
                run.members["b"].partition_status == "few"
                and run.members["c"].protocol.state == "barred"
            )
        )
        run.members["b"].set_banned("c", False)
        await run.until(lambda: run.stand("most"))


async def test_a_key_changed_in_the_middle_of_a_cut_leaves_out_who_has_the_old_one_alone() -> None:
    async with members("abc") as run:

        def apart(on: bool) -> None:
            for name, member in run.members.items():
                other = {run.places["c"]} if name != "c" else {run.places["a"], run.places["b"]}
                member.transport.is_blocked = lambda place, other=other: on and place in other  # type: ignore[misc]

        apart(True)
        await run.until(
            lambda: (
                run.members["c"].partition_status == "alone"
                and run.members["a"].partition_status == "few"
            ),
            15.0,
        )
        for born, keys in ((5, [KEY, NEW]), (6, [NEW, KEY])):
            for name in "ab":
                await run.stop(name)
                await run.start(name, born, keys)
                apart(True)
        apart(False)
        await run.until(lambda: run.members["c"].transport.rejections["key"] > 5)
        await run.until(lambda: run.members["a"].partition_status == "few")
        assert run.members["c"].partition_status == "alone", (
            "it hears nobody with a key that it knows"
        )
        assert not any(
            said["now"] == "failed" and said["member"] in "ab"
            for name, event, said in run.log
            if event == "membership.member_changed" and name in "ab"
        ), "nobody condemns the others with its old key"
        await run.stop("c")
        await run.start("c", 2, [KEY, NEW])
        await run.until(lambda: run.stand("most"), 15.0)


async def test_calls_of_other_parts_come_by_the_same_door_bounded_and_frames_as_before() -> None:
    async with trio.open_nursery() as nursery:
        run, got = Members(nursery), list[bytes]()
        a = await run.start("a")

        async def take(stream: trio.SocketStream, data: bytes) -> None:
            got.append(data)
            await trio.sleep_forever()

        a.transport.register_connection_handler(b"S", take)
        calls = list[trio.SocketStream]()
        with trio.fail_after(8.0):
            for n in range(MAX_DELEGATED_CONNECTIONS + 1):
                calls.append(await trio.open_tcp_stream(*run.places["a"]))
                await calls[-1].send_all(b"S\x01b")
                while len(got) < min(n + 1, MAX_DELEGATED_CONNECTIONS):
                    await trio.sleep(0.001)
            assert await calls[-1].receive_some(1) == b"", "over the bound: closed"
            while not a.transport.rejections["calls"]:
                await trio.sleep(0.001)
        assert (
            a.transport.streams.delegated.open == MAX_DELEGATED_CONNECTIONS and got[0][:1] == b"S"
        )
        b = await run.start("b")  # joins by a frame at that very door
        with trio.fail_after(5.0):
            while not (a.protocol.is_reachable("b") and b.protocol.is_reachable("a")):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
