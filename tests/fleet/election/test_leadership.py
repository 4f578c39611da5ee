"""Leadership among managers that run in this process and communicate over sockets."""

import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest
import trio
from click.testing import CliRunner

from dunlinlug.cli import main
from dunlinlug.decision.events import DemandReported
from dunlinlug.fleet.election import messages as election_messages
from dunlinlug.fleet.election.codec import NONCE_BYTES, FrameSealer
from dunlinlug.xds.subscriber import ProxyState
from tests.fixtures.manager_process import WORKERS, has_tables, until
from tests.fixtures.manager_set import Fleet, fleet


def bound_without(proxy_state: ProxyState, *removed: int) -> bool:
    left = {w.id for n, w in enumerate(WORKERS) if n not in removed}
    return all(
        set(proxy_state.usable_weights(product)) == left
        for product in ("ticket-read", "press-book")
    )


async def test_a_partitioned_leader_stops_by_its_lease_and_its_successor_has_its_orders(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path) as run:
        first = await run.wait_for_leader()
        for proxy in run.proxies:
            await proxy.until(has_tables)
        run.roster.update(w2="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: WORKERS[2].id in h.ejected)
        run.roster.fault = (
            "down"  # the successor must have the drain from the log, not from discovery
        )
        run.partition(first.leadership.self_id)
        second = await run.wait_for_leader(excluded=first.leadership.self_id)
        for proxy in run.proxies:
            await proxy.until(
                lambda h: (
                    h.fencing_term.term == second.leadership.protocol.term and bound_without(h, 2)
                )
            )
        assert not first.leadership.protocol.is_leader and run.logged("election.stepped_down")
        run.roster.fault = ""
        run.roster.update(w4="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 2, 4))
        run.partition(first.leadership.self_id, blocked=False)
        await until(
            lambda: first.leadership.protocol.position == second.leadership.protocol.position
        )
        assert first.leadership.protocol.leader == second.leadership.self_id


async def test_a_killed_leader_and_a_successor_killed_at_once_are_replaced_and_return_as_followers(
    tmp_path: Path,
) -> None:
    members = ("a", "b", "c", "d", "e")
    async with fleet(tmp_path, members=members) as run:
        first = await run.wait_for_leader()
        for proxy in run.proxies:
            await proxy.until(has_tables)
        killed = []
        for _ in range(2):
            leader = await run.wait_for_leader(excluded=killed[-1] if killed else "")
            killed.append(leader.leadership.self_id)
            await run.stop(killed[-1])
        third = await run.wait_for_leader()
        run.roster.update(w1="draining")
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
        term = (await run.wait_for_leader()).leadership.protocol.term
        for proxy in run.proxies:
            await proxy.until(has_tables)
        for member in run.members:
            await run.stop(member)
        for member in run.members:
            await run.start(run.nursery, member)
        again = await run.wait_for_leader()
        assert again.leadership.protocol.term > term, "votes are on disk"
        for proxy in run.proxies:
            await proxy.until(
                lambda h: h.fencing_term.term == again.leadership.protocol.term and has_tables(h)
            )


async def test_a_proxy_that_reaches_only_the_previous_leader_keeps_its_tables(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path) as run:
        first = await run.wait_for_leader()
        isolated = run.proxies[0]
        for proxy in run.proxies:
            await proxy.until(has_tables)
        isolated.reaches = {first.leadership.self_id}
        run.partition(first.leadership.self_id)
        await run.wait_for_leader(excluded=first.leadership.self_id)
        run.roster.update(w3="draining")
        await run.proxies[1].until(lambda h: bound_without(h, 3))
        await until(lambda: not first.leadership.protocol.is_leader)
        assert (
            has_tables(isolated.holdings)
            and isolated.holdings.fencing_term.member == first.leadership.self_id
        )
        isolated.reaches = set(run.members)
        await isolated.until(lambda h: bound_without(h, 3))


async def test_leadership_is_transferred_and_the_voter_set_grows_and_shrinks(
    tmp_path: Path,
) -> None:
    members = ("a", "b", "c", "d", "e")
    async with fleet(tmp_path, members=members, extra_config="first = a, b, c") as run:
        first = await run.wait_for_leader()
        for proxy in run.proxies:
            await proxy.until(has_tables)
        with pytest.raises(ValueError, match="not another member"):
            await first.leadership.transfer_leadership(first.leadership.self_id)
        to = next(m for m in "abc" if m != first.leadership.self_id)
        first.components.loop.submit(DemandReported(0, "view-map", 1, 0, 0.1))
        first.components.loop.run_batch(trio.current_time())
        assert not first.leadership.protocol.is_caught_up(to), "a batch must be in flight to it"
        began = trio.current_time()
        await first.leadership.transfer_leadership(to)
        second = await run.wait_for_leader(excluded=first.leadership.self_id)
        assert second.leadership.self_id == to and trio.current_time() - began < 0.3, (
            "much less than a lease"
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
        run.partition(to)
        third = await run.wait_for_leader(excluded=to)
        assert third.leadership.self_id != "d", "d is no longer a voter"
        run.roster.update(w0="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 0))


async def test_frames_with_a_wrong_key_change_nothing_and_are_logged_once(tmp_path: Path) -> None:
    async with fleet(tmp_path) as run, AsyncExitStack() as stack:
        await run.wait_for_leader()
        for _ in range(5):
            stream = await stack.enter_async_context(
                await trio.open_tcp_stream("127.0.0.1", run.peers[run.leader().leadership.self_id])
            )
            sealer = FrameSealer(bytes(32), await stream.receive_some(NONCE_BYTES))
            await stream.send_all(
                sealer.frame(election_messages.VoteRequest(99, "b", (99, 99), False))
            )
            with trio.fail_after(5.0):
                assert await stream.receive_some() == b""
        said = run.logged("peer.authentication_failed")
        assert len(said) == 1 and "unknown key" in said[0][1]["why"]
        assert run.leader().leadership.protocol.term == 1


async def test_the_fleet_command_shows_the_leader_and_a_follower_takes_no_overrides(
    tmp_path: Path,
) -> None:
    token = tmp_path / "token"
    token.write_text("a-token-of-the-tests")
    token.chmod(0o600)
    more = f"\n[operators]\ntoken_file = {token}\nlisten = 127.0.0.1:0"
    async with fleet(tmp_path, extra_config=more) as run:
        leader = await run.wait_for_leader()
        standby = next(m for m in run.managers.values() if m is not leader)

        def run_command(manager: object, *arguments: str) -> tuple[int, str]:
            name = manager.leadership.self_id  # type: ignore[attr-defined]
            text = run.file(name).read_text()
            listen_line = "listen = {}:{}\n".format(*manager.admin_address)  # type: ignore[attr-defined]
            (tmp_path / f"{name}.ini").write_text(
                text.replace("listen = 127.0.0.1:0\n", listen_line)
            )
            result = CliRunner().invoke(
                main, [arguments[0], arguments[1], str(tmp_path / f"{name}.ini"), *arguments[2:]]
            )
            return result.exit_code, result.output

        for manager, arguments, status, text in [
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
            found = await trio.to_thread.run_sync(run_command, manager, *arguments)
            assert found[0] == status and text in found[1], (arguments, found)
        await until(lambda: run.leader() is standby)


def reported_proxies(shown: dict[str, Any]) -> dict[str, int]:
    return {name: each["proxies"] for name, each in shown["membership"]["burdens"].items()}


async def check_reported_proxies(
    run: Fleet,
    is_first_leader: bool,
    shown: dict[str, Any],
    show: Callable[[], tuple[int, str]],
) -> None:
    """Check that the leader reports both proxies, and the others none.

    A starved leader loses its lease, and its proxies move; what members report follows then.
    """

    def expected(leader: object) -> dict[str, int]:
        return {name: 2 * (each is leader) for name, each in run.managers.items()}

    if is_first_leader:
        assert reported_proxies(shown) == expected(run.leader())
    with trio.fail_after(8.0):
        while reported_proxies(shown) != expected(await run.wait_for_leader()):
            status, output = await trio.to_thread.run_sync(show)
            assert status == 0
            shown = json.loads(output.splitlines()[0])


async def test_the_fleet_command_shows_members_bans_one_and_moves_shards(tmp_path: Path) -> None:
    token = tmp_path / "token"
    token.write_text("a-token-of-the-tests")
    token.chmod(0o600)
    more = (
        f"\n[operators]\ntoken_file = {token}\nlisten = 127.0.0.1:0\n"
        "\n[members]\nme = ME\nkey_file = KEY\nbeat = 50ms\n"
        "\n[owner]\non = yes\nlease = 500ms\nbeat = 50ms\nexercise = 4\n"
    )
    async with fleet(tmp_path, extra_config=more) as run:
        await run.wait_for_leader()
        for proxy in run.proxies:
            await proxy.until(has_tables)
        await until(
            lambda: all(
                m.membership and m.membership.partition_status == "all"
                for m in run.managers.values()
            )
        )
        leader, files = await run.wait_for_leader(), dict[str, Path]()
        first_term = leader.leadership.protocol.term
        for name, manager in run.managers.items():
            listen_line = "listen = {}:{}\n".format(*manager.admin_address)
            files[name] = tmp_path / f"{name}.ini"
            files[name].write_text(
                run.file(name).read_text().replace("listen = 127.0.0.1:0\n", listen_line)
            )

        def run_command(*arguments: str) -> tuple[int, str]:
            result = CliRunner().invoke(main, ["fleet", *arguments])
            return result.exit_code, result.output

        async def shows(*texts: str, of: str) -> None:
            with trio.fail_after(8.0):
                while True:
                    status, output = await trio.to_thread.run_sync(
                        run_command, "show", str(files[of])
                    )
                    if status == 0 and all(text in output for text in texts):
                        return
                    await trio.sleep(0.05)

        await shows("standing all", "a  alive", "b  alive", "c  alive", "2 proxies", of="b")
        status, output = await trio.to_thread.run_sync(
            run_command, "bar", str(files["b"]), "nobody"
        )
        assert status == 1 and "no member known here" in output
        status, output = await trio.to_thread.run_sync(run_command, "bar", str(files["b"]), "c")
        assert status == 0 and "c  barred" in output
        await shows("c  barred", "an operator's word", "standing most", of="a")
        status, output = await trio.to_thread.run_sync(run_command, "unbar", str(files["a"]), "c")
        assert status == 0
        await shows("standing all", "c  alive", of="c")
        await until(
            lambda: all(
                m.ownership and len(m.ownership.protocol.held_shards) > 60
                for m in run.managers.values()
            )
        )
        coordinator_name = next(
            name
            for name, m in run.managers.items()
            if m.ownership and m.ownership.protocol.log.is_leader
        )
        other = next(name for name in run.managers if name != coordinator_name)
        status, output = await trio.to_thread.run_sync(
            run_command, "move", str(files[other]), "exercise/1", other
        )
        assert status == 1 and f"only the steward moves work: {coordinator_name}" in output
        status, output = await trio.to_thread.run_sync(
            run_command, "move", str(files[coordinator_name]), "exercise/1", "nobody"
        )
        assert status == 1 and "is not a voting member with a valid lease" in output
        for to in (other, coordinator_name):
            status, output = await trio.to_thread.run_sync(
                run_command, "move", str(files[coordinator_name]), "exercise/1", to
            )
            if status:  # the shard has this owner already
                assert "already owns the shard" in output
            owners = run.managers[to].ownership
            await until(lambda owners=owners: owners.held_token("exercise/1") is not None)
        status, output = await trio.to_thread.run_sync(run_command, "work", str(files[other]))
        assert (
            status == 0 and f"steward {coordinator_name} of term" in output and "moved" in output
        ), output
        arguments = ("show", str(files["a"]), "--json", "--watch", "--times", "2")
        status, output = await trio.to_thread.run_sync(run_command, *arguments)
        lines = [json.loads(line) for line in output.splitlines()]
        assert status == 0 and len(lines) == 2
        await check_reported_proxies(
            run,
            is_first_leader=run.leader() is leader
            and leader.leadership.protocol.term == first_term,
            shown=lines[0],
            show=lambda: run_command(*arguments[:3]),
        )


async def test_a_successor_uses_its_own_partition_limits_and_not_the_previous_leaders(
    tmp_path: Path,
) -> None:
    async with fleet(
        tmp_path, extra_config="\n[members]\nme = ME\nkey_file = KEY\nbeat = 20ms\n"
    ) as run:
        first = await run.wait_for_leader()
        for proxy in run.proxies:
            await proxy.until(has_tables)
        await until(
            lambda: all(
                m.membership and m.membership.partition_status == "all"
                for m in run.managers.values()
            )
        )
        # The membership's datagrams are dropped; the frames of the log still pass.
        first.membership.transport.is_blocked = lambda address: True
        await until(
            lambda: all(
                not m.components.loop.module.state.partition_limits.may_change_weights
                for m in run.managers.values()
            )
        )
        to = next(name for name in run.managers if name != first.leadership.self_id)
        await first.leadership.transfer_leadership(to)
        assert await run.wait_for_leader(excluded=first.leadership.self_id) is run.managers[to]
        await until(
            lambda: (
                run.managers[to].components.loop.module.state.partition_limits.may_change_weights
            )
        )


async def test_a_successor_uses_its_own_service_discovery(tmp_path: Path) -> None:
    """The previous leader's list has one draining worker, the successor's a different one."""
    async with fleet(tmp_path) as run:
        first = await run.wait_for_leader()
        for proxy in run.proxies:
            await proxy.until(has_tables)
        run.roster.update(w2="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 2))
        run.roster.fault = "down"
        run.partition(first.leadership.self_id)
        await run.wait_for_leader(excluded=first.leadership.self_id)
        run.roster.fault = ""
        run.roster.update(w2="ready", w3="draining")
        for proxy in run.proxies:
            await proxy.until(lambda h: bound_without(h, 3))
            assert WORKERS[3].id in proxy.holdings.ejected


async def test_a_truncated_snapshot_leaves_a_member_without_a_log_until_a_good_one_comes(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path) as run:
        leader = await run.wait_for_leader()
        for proxy in run.proxies:
            await proxy.until(has_tables)
        restarted = next(m for m in run.members if m != leader.leadership.self_id)
        await run.stop(restarted)
        snapshot, truncations = leader.leadership.snapshot, list[int]()
        leader.leadership.snapshot = lambda: snapshot()[: truncations.append(1) or 2000]
        await run.start(run.nursery, restarted)
        await until(lambda: len(truncations) > 2)
        follower = run.managers[restarted].leadership
        assert (
            follower.protocol.position == election_messages.NO_POSITION
            and follower.describe()["behind"] is None
        )
        assert [said["why"][:18] for member, said in run.logged("election.replication_failed")] == [
            "cannot be decoded:"
        ], "logged once"
        assert leader.leadership.describe()["lags"][restarted] is None
        leader.leadership.snapshot = snapshot
        await until(
            lambda: (
                follower.protocol.position == leader.leadership.protocol.position
                and follower.describe()["behind"] == 0
            )
        )
