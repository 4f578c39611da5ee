"""Managers that take over from each other: over sockets in this process, and the parts by themselves."""

import json
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

import pytest
import trio
from click.testing import CliRunner

from dunlinlug.cli import main
from dunlinlug.decision.events import DemandReported
from dunlinlug.fleet import shared_keys
from dunlinlug.fleet.election import codec
from dunlinlug.fleet.election import messages as election_messages
from dunlinlug.fleet.election.model import ElectionModel
from dunlinlug.fleet.election.model_state import ElectionLimits
from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.model_checking.engine import (
    WalkOptions,
    explore_breadth_first,
    swarm_search,
)
from dunlinlug.xds import encoding, fencing_term, names
from dunlinlug.xds.stream import DeltaStream
from dunlinlug.xds.subscriber import DeltaSubscriber, ProxyState
from tests.fixtures.manager_process import WORKERS, bound, until
from tests.fixtures.manager_set import KEYS, fleet
from tests.fleet.election.mutants import MUTANTS


def bound_without(holdings: ProxyState, *gone: int) -> bool:
    left = {w.id for n, w in enumerate(WORKERS) if n not in gone}
    return all(
        set(holdings.usable_weights(product)) == left for product in ("ticket-read", "press-book")
    )


async def test_a_cut_off_master_stops_by_its_lease_and_its_successor_knows_what_it_told(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path) as run:
        first = await run.led()
        for proxy in run.proxies:
            await proxy.until(bound)
        run.roster.tell(w2="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: WORKERS[2].id in h.ejected)
        run.roster.fault = "down"  # the successor has to know of the drain by itself
        run.cut(first.leadership.self_id)
        second = await run.led(but=first.leadership.self_id)
        for proxy in run.proxies:
            await proxy.until(
                lambda h: (
                    h.fencing_term.term == second.leadership.protocol.term and bound_without(h, 2)
                )
            )
        assert not first.leadership.protocol.is_leader and run.said("election.stepped_down")
        run.roster.fault = ""
        run.roster.tell(w4="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 2, 4))
        run.cut(first.leadership.self_id, on=False)
        await until(
            lambda: first.leadership.protocol.position == second.leadership.protocol.position
        )
        assert first.leadership.protocol.leader == second.leadership.self_id


async def test_a_killed_master_and_a_successor_killed_at_once_are_followed_and_come_back_as_standbys(
    tmp_path: Path,
) -> None:
    members = ("a", "b", "c", "d", "e")
    async with fleet(tmp_path, members=members) as run:
        first = await run.led()
        for proxy in run.proxies:
            await proxy.until(bound)
        killed = []
        for _ in range(2):
            leader = await run.led(but=killed[-1] if killed else "")
            killed.append(leader.leadership.self_id)
            await run.stop(killed[-1])
        third = await run.led()
        run.roster.tell(w1="draining")
        for proxy in run.proxies:
            await proxy.until(
                lambda h: (
                    h.fencing_term.term == third.leadership.protocol.term and bound_without(h, 1)
                )
            )
        for member in killed:
            await run.start(run.nursery, member)
        await until(
            lambda: all(
                m.leadership.protocol.position == third.leadership.protocol.position
                for m in run.managers.values()
            )
        )
        assert first.leadership.self_id == killed[0] and run.leader() is third


async def test_all_restarted_at_once_lead_again(tmp_path: Path) -> None:
    async with fleet(tmp_path) as run:
        term = (await run.led()).leadership.protocol.term
        for proxy in run.proxies:
            await proxy.until(bound)
        for member in run.members:
            await run.stop(member)
        for member in run.members:
            await run.start(run.nursery, member)
        again = await run.led()
        assert again.leadership.protocol.term > term, "votes are on disk"
        for proxy in run.proxies:
            await proxy.until(
                lambda h: h.fencing_term.term == again.leadership.protocol.term and bound(h)
            )


async def test_a_proxy_that_reaches_only_the_old_master_keeps_its_tables(tmp_path: Path) -> None:
    async with fleet(tmp_path) as run:
        first = await run.led()
        lonely = run.proxies[0]
        for proxy in run.proxies:
            await proxy.until(bound)
        lonely.reaches = {first.leadership.self_id}
        run.cut(first.leadership.self_id)
        await run.led(but=first.leadership.self_id)
        run.roster.tell(w3="draining")
        await run.proxies[1].until(lambda h: bound_without(h, 3))
        await until(lambda: not first.leadership.protocol.is_leader)
        assert (
            bound(lonely.holdings)
            and lonely.holdings.fencing_term.member == first.leadership.self_id
        )
        lonely.reaches = set(run.members)
        await lonely.until(lambda h: bound_without(h, 3))


async def test_a_hand_over_and_a_set_that_grows_and_shrinks(tmp_path: Path) -> None:
    members = ("a", "b", "c", "d", "e")
    async with fleet(tmp_path, members=members, more="first = a, b, c") as run:
        first = await run.led()
        for proxy in run.proxies:
            await proxy.until(bound)
        with pytest.raises(ValueError, match="not another member"):
            await first.leadership.transfer_leadership(first.leadership.self_id)
        to = next(m for m in "abc" if m != first.leadership.self_id)
        first.components.loop.submit(DemandReported(0, "view-map", 1, 0, 0.1))
        first.components.loop.run_batch(trio.current_time())
        assert not first.leadership.protocol.is_caught_up(to), (
            "a batch is under way to it at the very moment"
        )
        began = trio.current_time()
        await first.leadership.transfer_leadership(to)
        second = await run.led(but=first.leadership.self_id)
        assert second.leadership.self_id == to and trio.current_time() - began < 0.3, (
            "well within a lease"
        )
        for step, (member, on) in enumerate([("d", True), ("e", True), ("d", False)]):
            await until(
                lambda: (
                    second.leadership.protocol.committed
                    >= second.leadership.protocol.last_voter_change
                    and second.leadership.protocol.committed[0] == second.leadership.protocol.term
                )
            )
            second.leadership.change_voter(member, on)
            with pytest.raises(ValueError, match="one member at a time|already|earlier change"):
                second.leadership.protocol.change_voters(trio.current_time(), ("a",), b"")
            await until(
                lambda: all(
                    m.leadership.protocol.voter_set == second.leadership.protocol.voter_set
                    for m in run.managers.values()
                    if m.leadership.self_id in second.leadership.protocol.voter_set.members
                )
            )
            assert (member in second.leadership.protocol.voter_set.members) == on
            assert len(second.leadership.protocol.voter_set.members) == (4, 5, 4)[step]
        run.cut(to)
        third = await run.led(but=to)
        assert third.leadership.self_id != "d", "it is no member any more"
        run.roster.tell(w0="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 0))


async def test_a_member_with_a_wrong_key_is_harmless_and_said_once(tmp_path: Path) -> None:
    async with fleet(tmp_path) as run, AsyncExitStack() as stack:
        await run.led()
        for _ in range(5):
            stream = await stack.enter_async_context(
                await trio.open_tcp_stream("127.0.0.1", run.peers[run.leader().leadership.self_id])
            )
            sealer = codec.FrameSealer(bytes(32), await stream.receive_some(codec.NONCE_BYTES))
            await stream.send_all(
                sealer.frame(election_messages.VoteRequest(99, "b", (99, 99), False))
            )
            with trio.fail_after(5.0):
                assert await stream.receive_some() == b""
        said = run.said("peer.authentication_failed")
        assert len(said) == 1 and "unknown key" in said[0][1]["why"]
        assert run.leader().leadership.protocol.term == 1


async def test_the_fleet_command_shows_and_a_standby_takes_no_pins(tmp_path: Path) -> None:
    token = tmp_path / "token"
    token.write_text("a-token-of-the-tests")
    token.chmod(0o600)
    more = f"\n[operators]\ntoken_file = {token}\nlisten = 127.0.0.1:0"
    async with fleet(tmp_path, more=more) as run:
        leader = await run.led()
        standby = next(m for m in run.managers.values() if m is not leader)

        def said(manager: object, *what: str) -> tuple[int, str]:
            name = manager.leadership.self_id  # type: ignore[attr-defined]
            text = run.file(name).read_text()
            place = "listen = {}:{}\n".format(*manager.admin_address)  # type: ignore[attr-defined]
            (tmp_path / f"{name}.ini").write_text(text.replace("listen = 127.0.0.1:0\n", place))
            done = CliRunner().invoke(
                main, [what[0], what[1], str(tmp_path / f"{name}.ini"), *what[2:]]
            )
            return done.exit_code, done.output

        for manager, what, status, text in [
            (leader, ("fleet", "show"), 0, f"master {leader.leadership.self_id}"),
            (standby, ("fleet", "show"), 0, f"master {leader.leadership.self_id}"),
            (standby, ("fleet", "hand-over", "a"), 1, ""),
            (standby, ("fleet", "enrol", "x"), 1, "no [member x]"),
            (leader, ("fleet", "dismiss", leader.leadership.self_id), 1, "hand over first"),
            (
                standby,
                ("table", "pin", "press-book", "--only", WORKERS[0].id, "--for", "9s"),
                1,
                "another member",
            ),
            (leader, ("fleet", "hand-over", standby.leadership.self_id), 0, "handed over"),
        ]:
            found = await trio.to_thread.run_sync(said, manager, *what)
            assert found[0] == status and text in found[1], (what, found)
        await until(lambda: run.leader() is standby)


async def test_the_fleet_command_tells_who_is_there_and_bars_a_member(tmp_path: Path) -> None:
    token = tmp_path / "token"
    token.write_text("a-token-of-the-tests")
    token.chmod(0o600)
    more = (
        f"\n[operators]\ntoken_file = {token}\nlisten = 127.0.0.1:0\n"
        "\n[members]\nme = ME\nkey_file = KEY\nbeat = 50ms\n"
        "\n[owner]\non = yes\nlease = 500ms\nbeat = 50ms\nexercise = 4\n"
    )
    async with fleet(tmp_path, more=more) as run:
        await run.led()
        for proxy in run.proxies:
            await proxy.until(bound)
        await until(
            lambda: all(
                m.membership and m.membership.partition_status == "all"
                for m in run.managers.values()
            )
        )
        leader, files = await run.led(), dict[str, Path]()
        for name, manager in run.managers.items():
            place = "listen = {}:{}\n".format(*manager.admin_address)
            files[name] = tmp_path / f"{name}.ini"
            files[name].write_text(
                run.file(name).read_text().replace("listen = 127.0.0.1:0\n", place)
            )

        def said(*what: str) -> tuple[int, str]:
            done = CliRunner().invoke(main, ["fleet", *what])
            return done.exit_code, done.output

        async def shows(*texts: str, of: str) -> None:
            with trio.fail_after(8.0):
                while True:
                    status, output = await trio.to_thread.run_sync(said, "show", str(files[of]))
                    if status == 0 and all(text in output for text in texts):
                        return
                    await trio.sleep(0.05)

        await shows("standing all", "a  alive", "b  alive", "c  alive", "2 proxies", of="b")
        status, output = await trio.to_thread.run_sync(said, "bar", str(files["b"]), "nobody")
        assert status == 1 and "no member known here" in output
        status, output = await trio.to_thread.run_sync(said, "bar", str(files["b"]), "c")
        assert status == 0 and "c  barred" in output
        await shows("c  barred", "an operator's word", "standing most", of="a")
        status, output = await trio.to_thread.run_sync(said, "unbar", str(files["a"]), "c")
        assert status == 0
        await shows("standing all", "c  alive", of="c")
        await until(
            lambda: all(
                m.ownership and len(m.ownership.protocol.held_shards) > 60
                for m in run.managers.values()
            )
        )
        steward = next(
            name
            for name, m in run.managers.items()
            if m.ownership and m.ownership.protocol.log.is_leader
        )
        other = next(name for name in run.managers if name != steward)
        status, output = await trio.to_thread.run_sync(
            said, "move", str(files[other]), "exercise/1", other
        )
        assert status == 1 and f"only the steward moves work: {steward}" in output
        status, output = await trio.to_thread.run_sync(
            said, "move", str(files[steward]), "exercise/1", "nobody"
        )
        assert status == 1 and "no member that is here" in output
        for to in (other, steward):
            status, output = await trio.to_thread.run_sync(
                said, "move", str(files[steward]), "exercise/1", to
            )
            if status:  # it was there already
                assert "owns it already" in output
            owners = run.managers[to].ownership
            await until(lambda owners=owners: owners.held_token("exercise/1") is not None)
        status, output = await trio.to_thread.run_sync(said, "work", str(files[other]))
        assert status == 0 and f"steward {steward} of term" in output and "moved" in output, output
        words = ("show", str(files["a"]), "--json", "--watch", "--times", "2")
        status, output = await trio.to_thread.run_sync(said, *words)
        lines = [json.loads(line) for line in output.splitlines()]
        assert status == 0 and len(lines) == 2
        assert lines[0]["membership"]["burdens"][leader.leadership.self_id]["proxies"] == 2


async def test_a_successor_goes_by_its_own_standing_and_not_by_the_former_master_s(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, more="\n[members]\nme = ME\nkey_file = KEY\nbeat = 20ms\n") as run:
        first = await run.led()
        for proxy in run.proxies:
            await proxy.until(bound)
        await until(
            lambda: all(
                m.membership and m.membership.partition_status == "all"
                for m in run.managers.values()
            )
        )
        first.membership.transport.is_blocked = lambda place: (
            True
        )  # its datagrams are lost, its frames go on
        await until(
            lambda: all(
                not m.components.loop.module.partition_limits.may_change_weights
                for m in run.managers.values()
            )
        )
        to = next(name for name in run.managers if name != first.leadership.self_id)
        await first.leadership.transfer_leadership(to)
        assert await run.led(but=first.leadership.self_id) is run.managers[to]
        await until(
            lambda: run.managers[to].components.loop.module.partition_limits.may_change_weights
        )


async def test_a_successor_goes_by_what_its_own_roster_tells(tmp_path: Path) -> None:
    """The former master was told that one drains; the successor's roster tells of another, and has the first ready."""
    async with fleet(tmp_path) as run:
        first = await run.led()
        for proxy in run.proxies:
            await proxy.until(bound)
        run.roster.tell(w2="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 2))
        run.roster.fault = "down"
        run.cut(first.leadership.self_id)
        await run.led(but=first.leadership.self_id)
        run.roster.fault = ""
        run.roster.tell(w2="ready", w3="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 3))
            assert WORKERS[3].id in proxy.holdings.ejected


async def test_a_whole_cut_halfway_leaves_a_member_without_a_place_until_a_good_one_comes(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path) as run:
        leader = await run.led()
        for proxy in run.proxies:
            await proxy.until(bound)
        late = next(m for m in run.members if m != leader.leadership.self_id)
        await run.stop(late)
        whole, cuts = leader.leadership.snapshot, list[int]()
        leader.leadership.snapshot = lambda: whole()[: cuts.append(1) or 2000]
        await run.start(run.nursery, late)
        await until(lambda: len(cuts) > 2)
        helm = run.managers[late].leadership
        assert (
            helm.protocol.position == election_messages.NO_POSITION
            and helm.describe()["behind"] is None
        )
        assert [said["why"][:18] for member, said in run.said("election.replication_failed")] == [
            "not as written her"
        ], "once"
        assert leader.leadership.describe()["lags"][late] is None
        leader.leadership.snapshot = whole
        await until(
            lambda: (
                helm.protocol.position == leader.leadership.protocol.position
                and helm.describe()["behind"] == 0
            )
        )


# The parts by themselves.


def test_a_proxy_refuses_a_lower_term_on_old_streams_and_new_ones() -> None:
    holdings = ProxyState()
    for term, member, refused in [
        (3, "a", ""),
        (3, "a", ""),
        (2, "b", "term 3 has been seen"),
        (3, "c", "another master"),
        (0, "", "term 3 has been seen"),
        (4, "c", ""),
    ]:
        stream = DeltaStream()
        stream.control_plane_id = (
            fencing_term.format_identifier(term, member) if term else "dunlinlug"
        )
        shut = encoding.encode_ejections({f"10.0.0.{term}:80"})
        answer, done = DeltaSubscriber(holdings, "p", "", {}).receive(
            stream.respond(names.ENDPOINTS_TYPE, (shut,), (), "")[1]
        )
        assert refused in done.rejection_reason and bool(done.rejection_reason) == bool(refused)
        assert fencing_term.superseding_term(done.rejection_reason) == (
            3 if "has been seen" in refused else 0
        )
    assert holdings.ejected == {"10.0.0.4:80"}


def drawn(chance: Random) -> election_messages.Message:
    term, who, at = (
        chance.randrange(9),
        chance.choice("abc"),
        (chance.randrange(9), chance.randrange(99)),
    )
    roll = election_messages.VoterSet(chance.randrange(3), ("a", "b", "c"))
    entries = tuple(chance.randbytes(chance.randrange(9)) for _ in range(chance.randrange(3)))
    return chance.choice(
        [
            election_messages.VoteRequest(
                term, who, at, chance.random() < 0.5, chance.random() < 0.5
            ),
            election_messages.VoteResponse(
                term, who, chance.randrange(9), chance.random() < 0.5, chance.random() < 0.5, False
            ),
            election_messages.AppendEntries(term, who, chance.random(), roll, at, entries),
            election_messages.Snapshot(term, who, 1.5, roll, at, b"xyz"),
            election_messages.AppendResponse(term, who, 0.5, at, chance.random() < 0.5),
            election_messages.TransferLeadership(term, who),
        ]
    )


def test_frames_come_through_in_any_pieces_and_nothing_forged_does() -> None:
    keys, chance = [bytes.fromhex(key) for key in KEYS], Random(5)
    for case in range(300):
        nonce = chance.randbytes(codec.NONCE_BYTES)
        sealer, opener = codec.FrameSealer(keys[case % 2], nonce), codec.FrameOpener(keys, nonce)
        messages = [drawn(chance) for _ in range(3)]
        frames = [sealer.frame(message) for message in messages]
        data, found = b"".join(frames), []
        while data:
            cut = chance.randrange(1, len(data) + 1)
            found += opener.feed(data[:cut])
            data = data[cut:]
        assert found == messages
        bad = bytearray(b"".join(frames))
        bad[chance.randrange(len(bad))] ^= 1 << chance.randrange(8)
        for stream in (bytes(bad), frames[1], frames[0] + frames[0], frames[0] + frames[2]):
            again, got = codec.FrameOpener(keys, nonce), list[election_messages.Message]()
            try:
                got += again.feed(stream)
                assert got in (messages[:1], messages[:2], []), "cut short by a length that grew"
            except codec.AuthenticationError:
                continue
        with pytest.raises(codec.AuthenticationError):
            codec.FrameOpener(keys, chance.randbytes(codec.NONCE_BYTES)).feed(frames[0])
        with pytest.raises(codec.AuthenticationError):
            codec.FrameOpener(keys[:1], nonce).feed(
                codec.FrameSealer(keys[1], nonce).frame(messages[0])
            )


def test_bytes_that_are_no_message_are_forged_not_a_crash() -> None:
    chance = Random(6)
    for _ in range(3000):
        body = bytearray(codec.encode(drawn(chance)))
        for _ in range(chance.randrange(1, 4)):
            body[chance.randrange(len(body))] = chance.randrange(256)
        try:
            codec.decode(bytes(body[: chance.randrange(1, len(body) + 1)]))
        except codec.AuthenticationError:
            continue


def test_a_key_file_is_one_or_two_keys_that_others_cannot_read(tmp_path: Path) -> None:
    path = tmp_path / "key"
    for text, mode, said in (
        ("\n".join(KEYS), 0o600, ""),
        (KEYS[0], 0o640, "chmod 600"),
        ("abc", 0o600, "64 hex"),
        ("\n".join([*KEYS, KEYS[0]]), 0o600, "one or two"),
    ):
        path.write_text(text)
        path.chmod(mode)
        if said:
            with pytest.raises(shared_keys.KeyFileError, match=said):
                shared_keys.read_keys(path)
        else:
            assert len(shared_keys.read_keys(path)) == 2


def test_any_order_of_drawn_messages_leaves_a_machine_that_answers() -> None:
    """Messages of any kind, term and sender at any time: no crash, the term never falls, one vote a term."""
    for seed in range(200):
        chance, now = Random(seed), 0.0
        kept = election_messages.Persist(0, "", election_messages.VoterSet(1, ("a", "b", "c")))
        machine = ElectionProtocol("a", kept, now, 1.0, 0.2, 0.02, 5.0, chance.uniform)
        votes: dict[int, set[str]] = {}
        term = 0
        for _ in range(200):
            now += chance.choice([0.0, 0.1, 0.7])
            orders = (
                machine.tick(now) if chance.random() < 0.3 else machine.receive(now, drawn(chance))
            )
            for order in orders:
                if isinstance(order, election_messages.Persist) and order.voted_for:
                    votes.setdefault(order.term, set()).add(order.voted_for)
                if isinstance(order, election_messages.SnapshotNeeded):
                    assert machine.send_snapshot(now, order.recipient, b"") or not machine.is_leader
            assert machine.term >= term
            term = machine.term
        assert all(len(voted) == 1 for voted in votes.values()), (seed, votes)


@pytest.mark.parametrize("name", MUTANTS)
def test_each_safety_line_taken_out_is_caught_with_a_shortest_trace(name: str) -> None:
    mutant = MUTANTS[name]
    mutated = ElectionModel(mutant.protocol_factory, mutant.limits, **mutant.host_options)
    found = explore_breadth_first(mutated, 20_000, 30.0, prefix=mutant.prefix)
    assert mutant.expected_violation in found.violation and found.trace, found
    try:
        whole = explore_breadth_first(
            ElectionModel(limits=mutant.limits), 300, 30.0, prefix=mutant.prefix
        )
    except LookupError:
        return  # the whole machine does not even go where the mutant was led
    assert whole.violation == ""


def test_a_short_search_finds_nothing_broken() -> None:
    found = explore_breadth_first(ElectionModel(), 12_000, recovery_check_interval=499)
    assert (found.violation, found.trace) == ("", [])
    assert found.states >= 12_000 and found.recoveries[0] == found.recoveries[1] > 20
    walked = swarm_search(
        ElectionModel(limits=ElectionLimits(in_flight=6, losses=3)),
        WalkOptions(seed=3, max_seconds=6.0),
    )
    assert walked.violation == "" and walked.states > 2_000


def test_a_detected_death_hurries_one_after_the_other_and_breaks_no_promise() -> None:
    roll, first = election_messages.VoterSet(1, ("a", "b", "c", "d", "e")), list[str]()
    for term in range(1, 6):
        stands = dict[str, float]()
        for member in "abcde":
            machine = ElectionProtocol(
                member,
                election_messages.Persist(term, "", roll),
                0.0,
                1.0,
                0.2,
                0.02,
                10.0,
                lambda low, high: high,
            )
            machine.receive(
                5.0, election_messages.AppendEntries(term, "c", 1.0, roll, (term, 1), ())
            )
            before = machine.election_at
            machine.leader_suspected(5.5, "d", set("abce"))
            assert machine.election_at == before, "not our master"
            machine.leader_suspected(5.5, "c", set("abde"))
            stands[member] = machine.election_at
            if member != "c":
                assert (
                    machine.election_at >= machine.promised_until == 6.0 and machine.tick(5.9) == []
                )
                assert machine.tick(machine.election_at), "it stands, once its promise is over"
        living = sorted((at, member) for member, at in stands.items() if member != "c")
        assert [round(at - 6.0, 3) for at, _ in living] == [0.0, 0.1, 0.2, 0.25], (
            "the last at its own time"
        )
        first.append(living[0][1])
    assert len(set(first)) == 4, "another comes first in each term"
