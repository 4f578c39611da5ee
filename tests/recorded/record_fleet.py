"""Records what managers send each other: `python -m tests.recorded.record_fleet`.

To be run only where a form is changed on purpose, with the change told in CHANGELOG.md: the data is
what managers in service write, and `test_fleet_bytes.py` holds the code to it. The state of a
module is that of a real one after many turns of a generated history.
"""

import json
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgpack
import msgspec

from dunlinlug.balance import Balancer
from dunlinlug.fleet.election import codec, replicated_state
from dunlinlug.fleet.membership import codec as members_codec
from dunlinlug.fleet.ownership import log
from dunlinlug.manager.installed_tables import InstalledTable
from tests.decision.histories import SimulatedEnvironment
from tests.recorded import fleet_examples as examples
from tests.recorded import fleet_facts

DATA = Path(__file__).parent / "data" / "fleet"
KEY, BOOT, NONCE = bytes(range(32)), b"bootboot", bytes(range(16))
HISTORY, TURNS, MORE_TURNS = 50, 90, 12  # of the module whose state is recorded


def neutral(value: Any) -> Any:
    """What msgpack bytes say, as JSON: wire names as they stand, bytes as {"hex": ...}."""
    match value:
        case bytes():
            return {"hex": value.hex()}
        case list() | tuple():
            return [neutral(part) for part in value]
        case dict():
            return {"map": [[neutral(key), neutral(part)] for key, part in value.items()]}
    return value


def described(body: bytes) -> Any:
    return neutral(msgpack.unpackb(body, strict_map_key=False))


def members_body(message: Any) -> bytes:
    return msgspec.msgpack.encode(message)


def members_datagram(message: Any) -> bytes:
    return members_codec.DatagramSealer(KEY, BOOT).seal(message)


def members_frame(message: Any) -> bytes:
    return members_codec.DatagramSealer(KEY, BOOT).frame(message)


def log_frame(message: Any) -> bytes:
    return codec.FrameSealer(KEY, NONCE).frame(message)


def ownership_book() -> log.AssignmentTable:
    """The owners' book after some entries."""
    made = log.AssignmentTable(4)
    for n, entry in enumerate(
        (
            log.TermStarted(),
            log.MemberRestarted("m0", 99),
            log.Assign(((0, "m0"), (1, "m1"), (2, "m0")), "dealt"),
            log.Revoke(((1, "m2"), (2, "m1"))),
        )
    ):
        made.apply(entry, (6, n + 1))
    piece = next(name for name in (f"ramp/{n}" for n in range(99)) if made.shard_of(name) == 0)
    made.apply(log.Checkpoint(((piece, made.tokens[0], b"\x01half"),)), (6, 5))
    return made


def lived_module() -> tuple[Balancer, list[tuple[float, list[Any]]]]:
    """A module after some turns of a history, and the turns that come next."""
    surroundings = SimulatedEnvironment(HISTORY)
    module = Balancer(surroundings.settings)
    turns = surroundings.turns()
    for _ in range(TURNS):
        now, events = next(turns)
        surroundings.apply_orders(now, module.decide(now, events), module)
    # The history answers orders, so a copy goes on to tell what comes next.
    copy, _ = replicated_state.deserialize_snapshot(
        replicated_state.serialize_snapshot(module, standing(now)), surroundings.settings
    )
    following = []
    for _ in range(MORE_TURNS):
        now, events = next(turns)
        following.append((now, events))
        surroundings.apply_orders(now, copy.decide(now, events), copy)
    return module, following


def standing(now: float) -> replicated_state.ReplicaSnapshot:
    """What stands beside a module."""
    return replicated_state.ReplicaSnapshot(
        now=now,
        epoch=3,
        tables={
            4: InstalledTable("3/4", {"10.0.0.1:80": 0.5}, {0: (1, 0.75)}),
            5: InstalledTable("3/5"),
        },
        ejected={"10.0.0.3:80", "10.0.0.2:80"},
        zones={"10.0.0.1:80": "zone-0"},
        proxy_numbers={"proxy-0": 0, "proxy-1": 1},
        timers=[(1.5, 2), (2.5, 3)],
        endpoint_list=b'{"workers": []}',
        overrides=[{"product": "product-0", "weights": {}, "others": True}],
    )


def cases(
    messages: Mapping[str, Any], body: Callable[[Any], bytes], **sealed: Callable[[Any], bytes]
) -> dict[str, Any]:
    """By message what its body says, its bytes, and those of its frames."""
    return {
        name: {
            "says": described(body(message)),
            "body": body(message).hex(),
            **{form: seal(message).hex() for form, seal in sealed.items()},
        }
        for name, message in messages.items()
    }


def put(name: str, found: Any) -> None:
    (DATA / name).write_text(json.dumps(found, indent=1) + "\n")


def names_in(plain: Any, found: dict[str, list[str]]) -> None:
    """Classes of an encoded state with their fields, in the order in which they were written."""
    if isinstance(plain, list):
        if plain[0] == "o":
            found.setdefault(plain[2], plain[3::2])
        for part in plain[1:]:
            names_in(part, found)


def names_of(whole: bytes) -> dict[str, list[str]]:
    """The same of the whole, with the fields of the module itself, which travel in a plain map."""
    plain = msgpack.unpackb(whole, strict_map_key=False)
    names: dict[str, list[str]] = {}
    names_in(plain, names)
    fields = dict(zip(plain[3::2], plain[4::2], strict=True))
    names["the module"] = fields["module"][1::2]
    return names


def settled(whole: bytes) -> Any:
    """What the whole says, with the one map in order whose order is by chance: tables come into
    `at` of the seating out of a set, in the order of their addresses in memory, and are looked
    up in it alone.
    """
    plain = msgpack.unpackb(whole, strict_map_key=False)
    fields = dict(zip(plain[3::2], plain[4::2], strict=True))
    module = dict(zip(fields["module"][1::2], fields["module"][2::2], strict=True))
    seating = module["seating"]
    at = seating[seating.index("at") + 1]
    pairs = zip(at[1::2], at[2::2], strict=True)
    at[1:] = [part for pair in sorted(pairs, key=repr) for part in pair]
    return plain


def main() -> None:
    DATA.mkdir(parents=True, exist_ok=True)
    put(
        "members.json",
        cases(examples.MEMBERS, members_body, datagram=members_datagram, frame=members_frame),
    )
    put("succession.json", cases(examples.SUCCESSION, codec.encode, frame=log_frame))
    put("owner.json", cases(examples.OWNER, codec.encode, frame=log_frame))
    put("owner_log.json", cases(examples.LOG, log.encode_entry))
    put("owner_whole.json", cases({"Book": ownership_book()}, log.AssignmentTable.snapshot))
    put("said.json", neutral(list(fleet_facts.said().items())))
    put("batches.json", cases(examples.BATCHES, replicated_state.serialize_batch))

    module, following = lived_module()
    whole = replicated_state.serialize_snapshot(module, standing(following[0][0]))
    entries = []
    for now, events in following:
        entries.append(
            replicated_state.serialize_batch(replicated_state.ReplicatedBatch(now, events, [], {}))
        )
        module.decide(now, events)
    (DATA / "whole.bin").write_bytes(whole)
    (DATA / "following.bin").write_bytes(msgpack.packb(entries))
    (DATA / "whole_after.bin").write_bytes(
        replicated_state.serialize_snapshot(module, standing(following[-1][0]))
    )
    put("whole_names.json", names_of(whole))


if __name__ == "__main__":
    main()
