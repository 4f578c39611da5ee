"""At least one example of each message between managers, by the name under which it is recorded."""

from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    ManagerLoadChanged,
    OrderRejected,
    OverrideChanged,
    PartitionLimitsChanged,
    PeerMessageReceived,
    ProxyConnected,
    ProxyDisconnected,
    ShardAssigned,
    ShardRestored,
    TimerFired,
)
from dunlinlug.decision.orders import AssignTable, DeleteTable, SetAdmission, SetEjected, SetWeight
from dunlinlug.fleet.election import messages as election
from dunlinlug.fleet.election import replicated_state
from dunlinlug.fleet.membership import messages as membership
from dunlinlug.fleet.ownership import log
from dunlinlug.fleet.ownership import messages as ownership

OWN = membership.MemberState(
    name="m0",
    incarnation=(7, 2),
    state=membership.ALIVE,
    address=("127.0.0.1", 7001),
    reporter="m0",
)
OTHER = membership.MemberState(
    name="m1",
    incarnation=(9, 0),
    state=membership.SUSPECTED,
    address=("127.0.0.2", 7002),
    reporter="m2",
)
GOSSIP = (
    OTHER,
    membership.MemberBan(name="m3", version=4, banned=True),
    membership.ReachabilityReport(
        name="m0", version=(7, 3), not_answering=("m1",), silent=("m2", "m3")
    ),
    membership.ReachabilityReport(name="m2", version=(8, 1)),
    membership.Broadcast(key="burden/m0", payload=b"\x00\x01\xff"),
)

MEMBERS: dict[str, membership.Message] = {
    "Ping": membership.Ping(sender=OWN, target="m1", sequence=5, digest=b"12345678", gossip=GOSSIP),
    "Ping, no gossip": membership.Ping(sender=OWN, target="m1", sequence=6, digest=b""),
    "Ack": membership.Ack(
        sender=OTHER,
        target="m0",
        sequence=5,
        subject="m1",
        subject_start_epoch=9,
        digest=b"abcdefgh",
        gossip=GOSSIP[:1],
    ),
    "Ask": membership.PingRequest(
        sender=OWN, target="m2", sequence=7, subject=OTHER, gossip=GOSSIP[1:2]
    ),
    "Nack": membership.Nack(sender=OTHER, target="m0", sequence=7),
    "News": membership.Gossip(sender=OWN, target="m2", gossip=GOSSIP),
    "Whole": membership.StateSync(sender=OWN, target="m2", reply_requested=True, items=GOSSIP),
}

VOTER_SET = election.VoterSet(version=3, members=("m0", "m1", "m2"))
ELECTION: dict[str, election.Message] = {
    "Ask": election.VoteRequest(term=4, sender="m0", position=(3, 17), pre_vote=True),
    "Ask, handed": election.VoteRequest(
        term=5, sender="m1", position=(4, 18), pre_vote=False, leadership_transfer=True
    ),
    "Answer": election.VoteResponse(
        term=5, sender="m2", request_term=4, pre_vote=True, granted=False, recovering=True
    ),
    "Beat": election.AppendEntries(
        term=5,
        sender="m1",
        sent_at=12.5,
        voter_set=VOTER_SET,
        previous_position=(4, 18),
        entries=(b"one", b"\xfftwo"),
    ),
    "Beat, empty": election.AppendEntries(
        term=5,
        sender="m1",
        sent_at=12.75,
        voter_set=VOTER_SET,
        previous_position=(5, 20),
        entries=(),
    ),
    "Whole": election.Snapshot(
        term=5,
        sender="m1",
        sent_at=13.0,
        voter_set=VOTER_SET,
        position=(5, 21),
        body=b"all that stands",
    ),
    "Heard": election.AppendResponse(
        term=5, sender="m2", sent_at=13.0, position=(5, 21), accepted=True
    ),
    "Pass": election.TransferLeadership(term=5, sender="m1"),
}

OWNERSHIP: dict[str, ownership.Message] = {
    "Renew": ownership.RenewLease(
        term=6,
        sender="m0",
        sent_at=1.5,
        incarnation=99,
        outdated_tokens=((3, 77), (4, 78)),
        released=((5, 79),),
    ),
    "Renew, short": ownership.RenewLease(term=6, sender="m0", sent_at=2.5, incarnation=99),
    "Granted": ownership.LeaseGranted(
        term=6,
        sender="m1",
        sent_at=1.5,
        duration=2.25,
        log_position=(6, 3),
        committed=(6, 2),
        incarnation=99,
    ),
    "Note": ownership.CheckpointReport(
        term=6, sender="m0", items=(("pin/read", 25769803779, b"{}"), ("x", 1, b""))
    ),
    "Effect": ownership.Effect(
        term=6, sender="m0", task="ramp/w1", token=25769803779, sequence=8, body=b"\x01go"
    ),
    "Outcome": ownership.EffectResult(
        term=6,
        sender="m2",
        task="ramp/w1",
        token=25769803779,
        sequence=8,
        done=False,
        highest_token=25769803780,
        owner="m1",
    ),
    "Want": ownership.WorkRequest(term=6, sender="m2", task="ramp/w2", body=b"please"),
}

LOG: dict[str, log.AnyLogEntry] = {
    "Begin": log.TermStarted(),
    "Deal": log.Assign(owners=((0, "m0"), (1, "m1"), (2, "")), reason="it failed"),
    "Close": log.Revoke(targets=((1, "m2"),)),
    "Lived": log.MemberRestarted(member="m0", incarnation=99),
    "Noted": log.Checkpoint(items=(("pin/read", 25769803779, b"{}"), ("ramp/w1", 3, b""))),
}

WORKER = Endpoint(
    id="10.0.0.1:80",
    zone="north",
    host_class="big",
    cell=3,
    state="ready",
    weight=2.0,
    started_at=None,
)
REJECTABLE_ORDERS: tuple[SetWeight | DeleteTable | AssignTable | SetEjected | SetAdmission, ...] = (
    SetWeight(table_id=4, worker="10.0.0.1:80", weight=0.5),
    DeleteTable(table_id=5),
    AssignTable(proxy=6, traffic_classes=(0, 2), table_id=4),
    SetEjected(worker="10.0.0.2:80", ejected=True),
    SetAdmission(table_id=4, traffic_class=1, retry_policy=3, admitted_fraction=0.75),
)
EVENTS: tuple[Event, ...] = (
    EndpointsUpdated(
        update_type="changes",
        endpoints=(WORKER, Endpoint("10.0.0.2:80", "south", "", 0, "gone", None, 12.5)),
    ),
    TimerFired(token=9),
    HealthCheckCompleted(
        worker="10.0.0.1:80", healthy=True, result="ok", latency=0.25, load={"queue": 2.0}
    ),
    PeerMessageReceived(peer=2, payload="words"),
    ProxyConnected(proxy=6, zone="north", requests_per_second=5.0, first_connection=True),
    ProxyDisconnected(proxy=7),
    EndpointReported(
        zone="north",
        worker="10.0.0.1:80",
        attempts=9.0,
        failed=1.0,
        latency=0.25,
        window=0.5,
        load={"queue": 1.0},
        local=False,
    ),
    DemandReported(proxy=6, traffic_class="read", requests=20, failed=1, window=0.5, shard=None),
    DemandReported(proxy=None, traffic_class="read", requests=21, failed=2, window=0.75, shard=3),
    ShardAssigned(shard=3, assigned=True),
    ShardRestored(shard=3, worker="10.0.0.1:80", weight=0.125),
    Acknowledged(proxy=6, ack_number=12, latency=0.1),
    *(OrderRejected(order=order, reason="over the bound") for order in REJECTABLE_ORDERS),
    OverrideChanged(
        traffic_class=1, weights=(("10.0.0.1:80", 0.0), ("10.0.0.2:80", None)), keep_unlisted=False
    ),
    PartitionLimitsChanged(
        max_ejected_fraction=0.25, may_change_weights=False, may_raise_weights=True
    ),
    ManagerLoadChanged(manager="m1", overloaded=True, proxy_count=40, requests_per_second=200.5),
)
BATCHES: dict[str, replicated_state.ReplicatedBatch] = {
    "every event": replicated_state.ReplicatedBatch(
        now=100.25,
        events=list(EVENTS),
        rejected_indexes=[1, 4],
        new_proxy_numbers={"proxy-6": 6},
        overrides=[{"product": "read", "weights": {"10.0.0.1:80": 0.0}, "others": False}],
    ),
    "empty": replicated_state.ReplicatedBatch(
        now=100.5, events=[], rejected_indexes=[], new_proxy_numbers={}
    ),
}
