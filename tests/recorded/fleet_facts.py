"""Contents of messages between managers, made by the present code from fixed values.

They are keys and payloads of broadcasts, names of tasks, prefaces of connections and digests. Each
is bytes or a number under a name.
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

MANAGER_LOAD = load.ManagerLoad(proxies=40, requests_per_second=200.5, channel=0.25, processor=0.5)
ENDPOINT_LIST = {
    worker.id: worker
    for worker in (
        examples.WORKER,
        Endpoint("10.0.0.2:80", "south", "", 0, "gone", None, 12.5),
    )
}
REPORT = EndpointReported("north", "10.0.0.1:80", 9.0, 1.0, 0.25, 0.5)
HEALTH_CHECK = shared_health_checks.HealthCheckBroadcast(
    worker="10.0.0.1:80", healthy=False, result="timeout", duration=0.5, age=0.125
)


def manager_load_broadcast() -> Broadcast:
    broadcast = load.ManagerLoads("m0", 7).due_broadcast(1.0, MANAGER_LOAD)
    assert broadcast is not None
    return broadcast


def list_digest_broadcast() -> Broadcast:
    broadcast = list_digests.ListDigests("m0", 7).due_broadcast(1.0, ENDPOINT_LIST)
    assert broadcast is not None
    return broadcast


def observations_broadcast() -> Broadcast:
    observations = shared_observations.SharedObservations("m0", 7)
    observations.record_reports(1.0, [REPORT])
    (broadcast,) = observations.due_broadcasts(1.5)
    return broadcast


def membership_table() -> MembershipTable:
    """A membership table with two members and a ban by an operator."""
    table = MembershipTable()
    for item in (examples.OWN, examples.OTHER, examples.GOSSIP[1]):
        table.merge(item)
    return table


def prefaces() -> list[bytes]:
    """The first bytes that each log, dialling a member, sends to its membership address."""
    found = []
    for preface_tag in (transport.ELECTION_PREFACE, transport.OWNERSHIP_PREFACE):
        peer_transport = transport.PeerTransport(
            "m0",
            {"m1": ("127.0.0.1", 0)},
            [],
            lambda _: None,
            lambda *_: None,
            preface_tag=preface_tag,
        )
        peer_transport.membership_address = lambda member: ("127.0.0.1", 7001)
        found += [target.preface for target in peer_transport._dial_targets("m1")]
    return found


def payloads() -> dict[str, Any]:
    broadcasts = {
        "burden": manager_load_broadcast(),
        "list": list_digest_broadcast(),
        "evidence": observations_broadcast(),
    }
    return {
        **{f"{name}, key": broadcast.key.encode() for name, broadcast in broadcasts.items()},
        **{f"{name}, body": broadcast.payload for name, broadcast in broadcasts.items()},
        "digest of members": membership_table().digest(),
        "prefaces": prefaces(),
        "short name of a key": key_id(bytes(range(32))),
        "probe's result": msgspec.msgpack.encode(HEALTH_CHECK),
        "probe's work": health_check_assignment.task_of("10.0.0.1:80").encode(),
        "pin's work": shared_overrides.task_of("read").encode(),
        "end of a pin": shared_overrides.OVERRIDE_ENDED,
        "slot of work": shard_of("pin/read"),
        "number of a grant": token_at((6, 3)),
    }
