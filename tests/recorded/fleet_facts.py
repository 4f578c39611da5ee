"""What managers say inside their messages, made by the present code from fixed values: facts' keys and bodies, names of
work, prefaces of connections, prints that are compared. Each is bytes or a number by a name."""

from typing import Any

import msgspec

from dunlinlug import interface as face
from dunlinlug.fleet.keys import short
from dunlinlug.fleet.members import burden, evidence, lists
from dunlinlug.fleet.members.table import Table
from dunlinlug.fleet.members.words import Extra
from dunlinlug.fleet.owner import pinning, probes, probing
from dunlinlug.fleet.owner.words import numbered, slot_of
from dunlinlug.fleet.succession import peers
from tests.recorded import fleet_examples as examples

BURDEN = burden.Burden(proxies=40, txns_per_s=200.5, channel=0.25, processor=0.5)
LISTED = {
    worker.id: worker
    for worker in (
        examples.WORKER,
        face.Worker("10.0.0.2:80", "south", "", 0, "gone", None, 12.5),
    )
}
REPORT = face.Met("north", "10.0.0.1:80", 9.0, 1.0, 0.25, 0.5)
PROBED = probing.Told(worker="10.0.0.1:80", ok=False, result="timeout", took=0.5, age=0.125)


def burden_fact() -> Extra:
    fact = burden.Burdens("m0", 7).due(1.0, BURDEN)
    assert fact is not None
    return fact


def list_fact() -> Extra:
    fact = lists.Lists("m0", 7).due(1.0, LISTED)
    assert fact is not None
    return fact


def evidence_fact() -> Extra:
    told = evidence.Evidence("m0", 7)
    told.hear(1.0, [REPORT])
    (fact,) = told.due(1.5)
    return fact


def membership() -> Table:
    """A member's table with two members and an operator's word."""
    table = Table()
    for item in (examples.OWN, examples.OTHER, examples.GOSSIP[1]):
        table.take(item)
    return table


def prefaces() -> list[bytes]:
    """What a dialler of the log's, and one of the owners' log, says first at the membership's door."""
    found = []
    for letter in (peers.CALL, peers.OWNERS):
        made = peers.Peers(
            "m0", {"m1": ("127.0.0.1", 0)}, [], lambda _: None, lambda *_: None, letter=letter
        )
        made.shared = lambda member: ("127.0.0.1", 7001)
        found += [preface for _, preface in made._ways("m1")]
    return found


def said() -> dict[str, Any]:
    facts = {"burden": burden_fact(), "list": list_fact(), "evidence": evidence_fact()}
    return {
        **{f"{name}, key": fact.key.encode() for name, fact in facts.items()},
        **{f"{name}, body": fact.body for name, fact in facts.items()},
        "digest of members": membership().digest(),
        "prefaces": prefaces(),
        "short name of a key": short(bytes(range(32))),
        "probe's result": msgspec.msgpack.encode(PROBED),
        "probe's work": probes.piece_of("10.0.0.1:80").encode(),
        "pin's work": pinning.piece_of("read").encode(),
        "end of a pin": pinning.ENDED,
        "slot of work": slot_of("pin/read"),
        "number of a grant": numbered((6, 3)),
    }
