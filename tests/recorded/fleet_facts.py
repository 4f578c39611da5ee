"""What managers say inside their messages, made by the present code from fixed values: facts' keys
and bodies, names of work, prefaces of connections, prints that are compared. Each is bytes or a
number by a name.
"""

from typing import Any

import msgspec

from dunlinlug.decision.events import Endpoint, EndpointReported
from dunlinlug.fleet.election import transport
from dunlinlug.fleet.membership import list_digests, load, shared_observations
from dunlinlug.fleet.membership.member_table import MembershipTable
from dunlinlug.fleet.membership.messages import Broadcast
from dunlinlug.fleet.ownership import (
    health_check_assignment,
    shared_health_checks,
    shared_overrides,
)
from dunlinlug.fleet.ownership.messages import shard_of, token_at
from dunlinlug.fleet.shared_keys import key_id
from tests.recorded import fleet_examples as examples

BURDEN = load.ManagerLoad(proxies=40, requests_per_second=200.5, channel=0.25, processor=0.5)
LISTED = {
    worker.id: worker
    for worker in (
        examples.WORKER,
        Endpoint("10.0.0.2:80", "south", "", 0, "gone", None, 12.5),
    )
}
REPORT = EndpointReported("north", "10.0.0.1:80", 9.0, 1.0, 0.25, 0.5)
PROBED = shared_health_checks.HealthCheckBroadcast(
    worker="10.0.0.1:80", healthy=False, result="timeout", duration=0.5, age=0.125
)


def burden_fact() -> Broadcast:
    fact = load.ManagerLoads("m0", 7).due_broadcast(1.0, BURDEN)
    assert fact is not None
    return fact


def list_fact() -> Broadcast:
    fact = list_digests.ListDigests("m0", 7).due_broadcast(1.0, LISTED)
    assert fact is not None
    return fact


def evidence_fact() -> Broadcast:
    told = shared_observations.SharedObservations("m0", 7)
    told.record_reports(1.0, [REPORT])
    (fact,) = told.due_broadcasts(1.5)
    return fact


def membership() -> MembershipTable:
    """A member's table with two members and an operator's word."""
    table = MembershipTable()
    for item in (examples.OWN, examples.OTHER, examples.GOSSIP[1]):
        table.merge(item)
    return table


def prefaces() -> list[bytes]:
    """What a dialler of the log's, and one of the owners' log, says first at the membership's door."""
    found = []
    for letter in (transport.ELECTION_PREFACE, transport.OWNERSHIP_PREFACE):
        made = transport.PeerTransport(
            "m0", {"m1": ("127.0.0.1", 0)}, [], lambda _: None, lambda *_: None, preface_tag=letter
        )
        made.membership_address = lambda member: ("127.0.0.1", 7001)
        found += [target.preface for target in made._dial_targets("m1")]
    return found


def said() -> dict[str, Any]:
    facts = {"burden": burden_fact(), "list": list_fact(), "evidence": evidence_fact()}
    return {
        **{f"{name}, key": fact.key.encode() for name, fact in facts.items()},
        **{f"{name}, body": fact.payload for name, fact in facts.items()},
        "digest of members": membership().digest(),
        "prefaces": prefaces(),
        "short name of a key": key_id(bytes(range(32))),
        "probe's result": msgspec.msgpack.encode(PROBED),
        "probe's work": health_check_assignment.task_of("10.0.0.1:80").encode(),
        "pin's work": shared_overrides.task_of("read").encode(),
        "end of a pin": shared_overrides.OVERRIDE_ENDED,
        "slot of work": shard_of("pin/read"),
        "number of a grant": token_at((6, 3)),
    }
