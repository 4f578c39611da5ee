"""Messages between managers are decoded from and encoded to the bytes that `record_fleet` wrote."""

import json
from typing import Any

import msgpack
import msgspec
import pytest

from dunlinlug.fleet.election import codec, replicated_state
from dunlinlug.fleet.membership import codec as membership_codec
from dunlinlug.fleet.membership import list_digests, load, shared_observations
from dunlinlug.fleet.membership.messages import Broadcast
from dunlinlug.fleet.ownership import log, shared_health_checks
from dunlinlug.fleet.ownership import messages as ownership
from tests.decision.histories import SimulatedEnvironment
from tests.recorded import fleet_examples as examples
from tests.recorded import fleet_facts
from tests.recorded import record_fleet as record


def recorded(name: str) -> dict[str, Any]:
    decoded_json: dict[str, Any] = json.loads((record.DATA / name).read_text())
    return decoded_json


def hex_bytes(case: dict[str, Any], form: str) -> bytes:
    return bytes.fromhex(case[form])


@pytest.mark.parametrize(
    ("name", "messages"),
    [
        ("members.json", examples.MEMBERS),
        ("succession.json", examples.ELECTION),
        ("owner.json", examples.OWNERSHIP),
        ("owner_log.json", examples.LOG),
        ("owner_whole.json", {"Book": None}),
        ("batches.json", examples.BATCHES),
    ],
)
def test_each_body_is_decoded_to_its_recorded_content(name: str, messages: dict[str, Any]) -> None:
    cases = recorded(name)
    assert cases.keys() == messages.keys()
    for case in cases.values():
        assert record.decoded(hex_bytes(case, "body")) == case["says"]


@pytest.mark.parametrize("name", examples.MEMBERS)
def test_membership_datagrams_and_frames(name: str) -> None:
    case, message = recorded("members.json")[name], examples.MEMBERS[name]
    datagram, frame = hex_bytes(case, "datagram"), hex_bytes(case, "frame")
    assert membership_codec.DatagramOpener([record.KEY]).open(datagram) == message
    assert (
        membership_codec.DatagramOpener([record.KEY]).open(frame[membership_codec.LENGTH.size :])
        == message
    )
    assert record.membership_datagram(message) == datagram
    assert record.membership_frame(message) == frame
    assert record.membership_body(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.ELECTION)
def test_election_frames(name: str) -> None:
    case, message = recorded("succession.json")[name], examples.ELECTION[name]
    frame = hex_bytes(case, "frame")
    assert codec.FrameOpener([record.KEY], record.NONCE).feed(frame) == [message]
    assert codec.decode(hex_bytes(case, "body")) == message
    assert record.log_frame(message) == frame
    assert codec.encode(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.OWNERSHIP)
def test_ownership_frames(name: str) -> None:
    case, message = recorded("owner.json")[name], examples.OWNERSHIP[name]
    frame, kinds = hex_bytes(case, "frame"), {**codec.MESSAGE_TYPES, **ownership.MESSAGE_TYPES}
    assert codec.FrameOpener([record.KEY], record.NONCE, kinds).feed(frame) == [message]
    assert codec.decode(hex_bytes(case, "body"), kinds) == message
    assert record.log_frame(message) == frame
    assert codec.encode(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.LOG)
def test_ownership_log_entries(name: str) -> None:
    body, entry = hex_bytes(recorded("owner_log.json")[name], "body"), examples.LOG[name]
    assert log.decode_entry(body) == entry
    assert log.encode_entry(entry) == body


def test_ownership_snapshot() -> None:
    body = hex_bytes(recorded("owner_whole.json")["Book"], "body")
    found, expected = log.decode_snapshot(body, 4), record.assignment_table()
    assert vars(found) == vars(expected)
    assert found.snapshot() == expected.snapshot() == body


@pytest.mark.parametrize("name", examples.BATCHES)
def test_batches(name: str) -> None:
    body, batch = hex_bytes(recorded("batches.json")[name], "body"), examples.BATCHES[name]
    assert replicated_state.deserialize_batch(body) == batch
    assert replicated_state.serialize_batch(batch) == body


def test_a_recorded_snapshot_survives_a_round_trip() -> None:
    body = (record.DATA / "whole.bin").read_bytes()
    module, replica_snapshot = replicated_state.deserialize_snapshot(
        body, SimulatedEnvironment(record.HISTORY_SEED).settings
    )
    expected = record.replica_snapshot(replica_snapshot.now)
    for name in (
        "epoch",
        "ejected",
        "zones",
        "proxy_numbers",
        "timers",
        "endpoint_list",
        "overrides",
    ):
        assert getattr(replica_snapshot, name) == getattr(expected, name)
    assert {number: vars(table) for number, table in replica_snapshot.tables.items()} == {
        number: vars(table) for number, table in expected.tables.items()
    }
    assert replicated_state.serialize_snapshot(module, replica_snapshot) == body


def test_a_recorded_snapshot_has_the_recorded_classes_and_fields() -> None:
    body = (record.DATA / "whole.bin").read_bytes()
    assert record.names_of(body) == recorded("whole_names.json")


def test_the_same_history_leads_to_the_recorded_snapshot() -> None:
    """The same history leads to the recorded state, under the recorded names of its fields."""
    module, following = record.module_after_history()
    snapshot = replicated_state.serialize_snapshot(module, record.replica_snapshot(following[0][0]))
    assert record.sorted_snapshot(snapshot) == record.sorted_snapshot(
        (record.DATA / "whole.bin").read_bytes()
    )
    entries = [
        replicated_state.serialize_batch(replicated_state.ReplicatedBatch(now, events, [], {}))
        for now, events in following
    ]
    assert entries == msgpack.unpackb((record.DATA / "following.bin").read_bytes())


def test_recorded_batches_lead_from_one_recorded_snapshot_to_the_next() -> None:
    trade = SimulatedEnvironment(record.HISTORY_SEED).settings
    module, _ = replicated_state.deserialize_snapshot(
        (record.DATA / "whole.bin").read_bytes(), trade
    )
    now = 0.0
    for entry in msgpack.unpackb((record.DATA / "following.bin").read_bytes()):
        batch = replicated_state.deserialize_batch(entry)
        now = batch.now
        module.decide(now, batch.events)
    expected = (record.DATA / "whole_after.bin").read_bytes()
    snapshot = replicated_state.serialize_snapshot(module, record.replica_snapshot(now))
    assert record.sorted_snapshot(snapshot) == record.sorted_snapshot(expected)


def recorded_payloads() -> dict[str, Any]:
    decoded_json: list[list[Any]] = json.loads((record.DATA / "said.json").read_text())
    return {name: value for name, value in decoded_json}


def payload_bytes(name: str) -> bytes:
    return bytes.fromhex(recorded_payloads()[name]["hex"])


def test_contents_of_messages_are_encoded_as_recorded() -> None:
    assert {
        name: record.as_json(value) for name, value in fleet_facts.payloads().items()
    } == recorded_payloads()


def test_recorded_broadcasts_of_others_are_merged() -> None:
    broadcasts = {
        name: Broadcast(payload_bytes(f"{name}, key").decode(), payload_bytes(f"{name}, body"))
        for name in ("burden", "list", "evidence")
    }
    manager_loads = load.ManagerLoads("m1", 1)
    assert manager_loads.merge(2.0, broadcasts["burden"])
    assert manager_loads.loads["m0"] == ((7, 1), fleet_facts.MANAGER_LOAD, 2.0)
    digests = list_digests.ListDigests("m1", 1)
    assert digests.merge(2.0, broadcasts["list"])
    digest = list_digests.ListDigest(
        start_epoch=7,
        sequence=1,
        workers=2,
        fingerprints=list_digests.bucket_fingerprints(fleet_facts.ENDPOINT_LIST),
    )
    assert digests.digests["m0"] == (digest, 2.0)
    shared = shared_observations.SharedObservations("m1", 1)
    (report,) = shared.merge(2.0, broadcasts["evidence"])
    assert report.worker == fleet_facts.REPORT.worker and not report.local
    count = shared_observations.ObservationCounts(
        attempts=9.0, failures=1.0, success_seconds=2.0, age=0.5
    )
    assert [counts for counts, _ in shared.remote_counts.values()] == [count]
    result = msgspec.msgpack.decode(
        payload_bytes("probe's result"), type=shared_health_checks.HealthCheckBroadcast
    )
    assert result == fleet_facts.HEALTH_CHECK
