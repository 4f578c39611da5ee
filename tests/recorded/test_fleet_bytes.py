"""The code reads what managers in service write, and writes the same: held to bytes recorded by
`record_fleet`.
"""

import json
from typing import Any

import msgpack
import msgspec
import pytest

from dunlinlug.fleet.election import codec, replicated_state
from dunlinlug.fleet.membership import codec as members_codec
from dunlinlug.fleet.membership import list_digests, load, shared_observations
from dunlinlug.fleet.membership.messages import Broadcast
from dunlinlug.fleet.ownership import log, shared_health_checks
from dunlinlug.fleet.ownership import messages as owner
from tests.decision.histories import SimulatedEnvironment
from tests.recorded import fleet_examples as examples
from tests.recorded import fleet_facts
from tests.recorded import record_fleet as record


def recorded(name: str) -> dict[str, Any]:
    found: dict[str, Any] = json.loads((record.DATA / name).read_text())
    return found


def hex_bytes(case: dict[str, Any], form: str) -> bytes:
    return bytes.fromhex(case[form])


@pytest.mark.parametrize(
    ("name", "messages"),
    [
        ("members.json", examples.MEMBERS),
        ("succession.json", examples.SUCCESSION),
        ("owner.json", examples.OWNER),
        ("owner_log.json", examples.LOG),
        ("owner_whole.json", {"Book": None}),
        ("batches.json", examples.BATCHES),
    ],
)
def test_each_body_says_what_its_description_says(name: str, messages: dict[str, Any]) -> None:
    cases = recorded(name)
    assert cases.keys() == messages.keys()
    for case in cases.values():
        assert record.described(hex_bytes(case, "body")) == case["says"]


@pytest.mark.parametrize("name", examples.MEMBERS)
def test_members_datagrams_and_frames(name: str) -> None:
    case, message = recorded("members.json")[name], examples.MEMBERS[name]
    datagram, frame = hex_bytes(case, "datagram"), hex_bytes(case, "frame")
    assert members_codec.DatagramOpener([record.KEY]).open(datagram) == message
    assert (
        members_codec.DatagramOpener([record.KEY]).open(frame[members_codec.LENGTH.size :])
        == message
    )
    assert record.members_datagram(message) == datagram
    assert record.members_frame(message) == frame
    assert record.members_body(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.SUCCESSION)
def test_succession_frames(name: str) -> None:
    case, message = recorded("succession.json")[name], examples.SUCCESSION[name]
    frame = hex_bytes(case, "frame")
    assert codec.FrameOpener([record.KEY], record.NONCE).feed(frame) == [message]
    assert codec.decode(hex_bytes(case, "body")) == message
    assert record.log_frame(message) == frame
    assert codec.encode(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.OWNER)
def test_owner_frames(name: str) -> None:
    case, message = recorded("owner.json")[name], examples.OWNER[name]
    frame, kinds = hex_bytes(case, "frame"), {**codec.MESSAGE_TYPES, **owner.MESSAGE_TYPES}
    assert codec.FrameOpener([record.KEY], record.NONCE, kinds).feed(frame) == [message]
    assert codec.decode(hex_bytes(case, "body"), kinds) == message
    assert record.log_frame(message) == frame
    assert codec.encode(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.LOG)
def test_owner_log_entries(name: str) -> None:
    body, entry = hex_bytes(recorded("owner_log.json")[name], "body"), examples.LOG[name]
    assert log.decode_entry(body) == entry
    assert log.encode_entry(entry) == body


def test_owner_whole() -> None:
    body = hex_bytes(recorded("owner_whole.json")["Book"], "body")
    found, expected = log.decode_snapshot(body, 4), record.ownership_book()
    assert vars(found) == vars(expected)
    assert found.snapshot() == expected.snapshot() == body


@pytest.mark.parametrize("name", examples.BATCHES)
def test_batches(name: str) -> None:
    body, batch = hex_bytes(recorded("batches.json")[name], "body"), examples.BATCHES[name]
    assert replicated_state.deserialize_batch(body) == batch
    assert replicated_state.serialize_batch(batch) == body


def test_a_recorded_whole_is_read_and_written_again() -> None:
    body = (record.DATA / "whole.bin").read_bytes()
    module, standing = replicated_state.deserialize_snapshot(
        body, SimulatedEnvironment(record.HISTORY).settings
    )
    expected = record.standing(standing.now)
    for name in (
        "epoch",
        "ejected",
        "zones",
        "proxy_numbers",
        "timers",
        "endpoint_list",
        "overrides",
    ):
        assert getattr(standing, name) == getattr(expected, name)
    assert {number: vars(table) for number, table in standing.tables.items()} == {
        number: vars(table) for number, table in expected.tables.items()
    }
    assert replicated_state.serialize_snapshot(module, standing) == body


def test_a_recorded_whole_names_its_classes_and_fields_as_recorded() -> None:
    body = (record.DATA / "whole.bin").read_bytes()
    assert record.names_of(body) == recorded("whole_names.json")


def test_a_module_written_now_is_the_recorded_one() -> None:
    """The same history leads to the same state, so that the wire names are those of the attributes
    of old.
    """
    module, following = record.lived_module()
    whole = replicated_state.serialize_snapshot(module, record.standing(following[0][0]))
    assert record.settled(whole) == record.settled((record.DATA / "whole.bin").read_bytes())
    entries = [
        replicated_state.serialize_batch(replicated_state.ReplicatedBatch(now, events, [], {}))
        for now, events in following
    ]
    assert entries == msgpack.unpackb((record.DATA / "following.bin").read_bytes())


def test_recorded_batches_lead_from_the_recorded_whole_to_the_next() -> None:
    trade = SimulatedEnvironment(record.HISTORY).settings
    module, _ = replicated_state.deserialize_snapshot(
        (record.DATA / "whole.bin").read_bytes(), trade
    )
    now = 0.0
    for entry in msgpack.unpackb((record.DATA / "following.bin").read_bytes()):
        batch = replicated_state.deserialize_batch(entry)
        now = batch.now
        module.decide(now, batch.events)
    expected = (record.DATA / "whole_after.bin").read_bytes()
    whole = replicated_state.serialize_snapshot(module, record.standing(now))
    assert record.settled(whole) == record.settled(expected)


def recorded_said() -> dict[str, Any]:
    found: list[list[Any]] = json.loads((record.DATA / "said.json").read_text())
    return {name: value for name, value in found}


def said_bytes(name: str) -> bytes:
    return bytes.fromhex(recorded_said()[name]["hex"])


def test_what_is_said_inside_messages_is_written_as_recorded() -> None:
    assert {
        name: record.neutral(value) for name, value in fleet_facts.said().items()
    } == recorded_said()


def test_recorded_facts_of_others_are_taken() -> None:
    extras = {
        name: Broadcast(said_bytes(f"{name}, key").decode(), said_bytes(f"{name}, body"))
        for name in ("burden", "list", "evidence")
    }
    burdens = load.ManagerLoads("m1", 1)
    assert burdens.merge(2.0, extras["burden"])
    assert burdens.loads["m0"] == ((7, 1), fleet_facts.BURDEN, 2.0)
    listings = list_digests.ListDigests("m1", 1)
    assert listings.merge(2.0, extras["list"])
    digest = list_digests.ListDigest(
        start_epoch=7,
        sequence=1,
        workers=2,
        fingerprints=list_digests.bucket_fingerprints(fleet_facts.LISTED),
    )
    assert listings.digests["m0"] == (digest, 2.0)
    shared = shared_observations.SharedObservations("m1", 1)
    (met,) = shared.merge(2.0, extras["evidence"])
    assert met.worker == fleet_facts.REPORT.worker and not met.local
    count = shared_observations.ObservationCounts(
        attempts=9.0, failures=1.0, success_seconds=2.0, age=0.5
    )
    assert [told for told, _ in shared.remote_counts.values()] == [count]
    result = msgspec.msgpack.decode(
        said_bytes("probe's result"), type=shared_health_checks.HealthCheckBroadcast
    )
    assert result == fleet_facts.PROBED
