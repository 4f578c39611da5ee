"""Records the messages between managers: `python -m tests.recorded.record_fleet`.

Run it only for an intended change of a format, with an entry in CHANGELOG.md: managers in service
write this data, and `test_fleet_bytes.py` compares the code with it. The recorded module state is
that after many batches of a generated history.
"""

import json
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgpack
import msgspec

from dunlinlug.balance import Balancer
from dunlinlug.fleet.election import codec, replicated_state
from dunlinlug.fleet.membership import codec as membership_codec
from dunlinlug.fleet.ownership import log
from dunlinlug.manager.installed_tables import InstalledTable
from tests.decision.histories import SimulatedEnvironment
from tests.recorded import fleet_examples as examples
from tests.recorded import fleet_facts

DATA = Path(__file__).parent / "data" / "fleet"
KEY, BOOT, NONCE = bytes(range(32)), b"bootboot", bytes(range(16))
# The module whose state is recorded: the history's seed, the batches before and after the state.
HISTORY_SEED, BATCHES_BEFORE, BATCHES_AFTER = 50, 90, 12


def as_json(value: Any) -> Any:
    """Decoded msgpack as JSON: names of the wire format unchanged, bytes as {"hex": ...}."""
    match value:
        case bytes():
            return {"hex": value.hex()}
        case list() | tuple():
            return [as_json(part) for part in value]
        case dict():
            return {"map": [[as_json(key), as_json(part)] for key, part in value.items()]}
    return value


def decoded(body: bytes) -> Any:
    return as_json(msgpack.unpackb(body, strict_map_key=False))


def membership_body(message: Any) -> bytes:
    return msgspec.msgpack.encode(message)


def membership_datagram(message: Any) -> bytes:
    return membership_codec.DatagramSealer(KEY, BOOT).seal(message)


def membership_frame(message: Any) -> bytes:
    return membership_codec.DatagramSealer(KEY, BOOT).frame(message)


def log_frame(message: Any) -> bytes:
    return codec.FrameSealer(KEY, NONCE).frame(message)


def assignment_table() -> log.AssignmentTable:
    """The assignment table after some log entries."""
    table = log.AssignmentTable(4)
    for n, entry in enumerate(
        (
            log.TermStarted(),
            log.MemberRestarted("m0", 99),
            log.Assign(((0, "m0"), (1, "m1"), (2, "m0")), "dealt"),
            log.Revoke(((1, "m2"), (2, "m1"))),
        )
    ):
        table.apply(entry, (6, n + 1))
    task = next(name for name in (f"ramp/{n}" for n in range(99)) if table.shard_of(name) == 0)
    table.apply(log.Checkpoint(((task, table.tokens[0], b"\x01half"),)), (6, 5))
    return table


def module_after_history() -> tuple[Balancer, list[tuple[float, list[Any]]]]:
    """A module after some batches of a history, and the batches that follow."""
    surroundings = SimulatedEnvironment(HISTORY_SEED)
    module = Balancer(surroundings.settings)
    turns = surroundings.turns()
    for _ in range(BATCHES_BEFORE):
        now, events = next(turns)
        surroundings.apply_orders(now, module.decide(now, events), module)
    # The history reacts to orders, so a copy of the module is run to get the batches that follow.
    copy, _ = replicated_state.deserialize_snapshot(
        replicated_state.serialize_snapshot(module, replica_snapshot(now)), surroundings.settings
    )
    following = []
    for _ in range(BATCHES_AFTER):
        now, events = next(turns)
        following.append((now, events))
        surroundings.apply_orders(now, copy.decide(now, events), copy)
    return module, following


def replica_snapshot(now: float) -> replicated_state.ReplicaSnapshot:
    """The state that a snapshot has beside that of the module."""
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
    """By message its decoded body, the bytes of the body, and those of its frames."""
    return {
        name: {
            "says": decoded(body(message)),
            "body": body(message).hex(),
            **{form: seal(message).hex() for form, seal in sealed.items()},
        }
        for name, message in messages.items()
    }


def write_json(name: str, value: Any) -> None:
    (DATA / name).write_text(json.dumps(value, indent=1) + "\n")


def names_in(encoded: Any, fields_by_class: dict[str, list[str]]) -> None:
    """Collect the classes of an encoded state and their fields, in the order of writing."""
    if isinstance(encoded, list):
        if encoded[0] == "o":
            fields_by_class.setdefault(encoded[2], encoded[3::2])
        for part in encoded[1:]:
            names_in(part, fields_by_class)


def names_of(snapshot: bytes) -> dict[str, list[str]]:
    """Return the same for a snapshot, with the module's own fields, which are in a plain map."""
    encoded = msgpack.unpackb(snapshot, strict_map_key=False)
    names: dict[str, list[str]] = {}
    names_in(encoded, names)
    fields = dict(zip(encoded[3::2], encoded[4::2], strict=True))
    names["the module"] = fields["module"][1::2]
    return names


def sorted_snapshot(snapshot: bytes) -> Any:
    """Decode a snapshot, and sort the one map in it whose order is not reproducible.

    The field `at` of `seating` is filled from a set of tables, in the order of their addresses in
    memory, and is used for lookups only.
    """
    encoded = msgpack.unpackb(snapshot, strict_map_key=False)
    fields = dict(zip(encoded[3::2], encoded[4::2], strict=True))
    module = dict(zip(fields["module"][1::2], fields["module"][2::2], strict=True))
    assignments = module["seating"]
    at = assignments[assignments.index("at") + 1]
    pairs = zip(at[1::2], at[2::2], strict=True)
    at[1:] = [part for pair in sorted(pairs, key=repr) for part in pair]
    return encoded


def main() -> None:
    DATA.mkdir(parents=True, exist_ok=True)
    write_json(
        "members.json",
        cases(
            examples.MEMBERS, membership_body, datagram=membership_datagram, frame=membership_frame
        ),
    )
    write_json("succession.json", cases(examples.ELECTION, codec.encode, frame=log_frame))
    write_json("owner.json", cases(examples.OWNERSHIP, codec.encode, frame=log_frame))
    write_json("owner_log.json", cases(examples.LOG, log.encode_entry))
    write_json(
        "owner_whole.json", cases({"Book": assignment_table()}, log.AssignmentTable.snapshot)
    )
    write_json("said.json", as_json(list(fleet_facts.payloads().items())))
    write_json("batches.json", cases(examples.BATCHES, replicated_state.serialize_batch))

    module, following = module_after_history()
    snapshot = replicated_state.serialize_snapshot(module, replica_snapshot(following[0][0]))
    entries = []
    for now, events in following:
        entries.append(
            replicated_state.serialize_batch(replicated_state.ReplicatedBatch(now, events, [], {}))
        )
        module.decide(now, events)
    (DATA / "whole.bin").write_bytes(snapshot)
    (DATA / "following.bin").write_bytes(msgpack.packb(entries))
    (DATA / "whole_after.bin").write_bytes(
        replicated_state.serialize_snapshot(module, replica_snapshot(following[-1][0]))
    )
    write_json("whole_names.json", names_of(snapshot))


if __name__ == "__main__":
    main()
