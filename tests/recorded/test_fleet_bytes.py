"""The code reads what managers in service write, and writes the same: held to bytes recorded by `record_fleet`."""

import json
from typing import Any

import msgpack
import msgspec
import pytest

from dunlinlug.fleet.members import burden, evidence, lists
from dunlinlug.fleet.members import codec as members_codec
from dunlinlug.fleet.members.words import Extra
from dunlinlug.fleet.owner import book, probing
from dunlinlug.fleet.owner import words as owner
from dunlinlug.fleet.succession import codec, facts
from tests.histories import Surroundings
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
    assert members_codec.Opener([record.KEY]).open(datagram) == message
    assert members_codec.Opener([record.KEY]).open(frame[members_codec.LENGTH.size :]) == message
    assert record.members_datagram(message) == datagram
    assert record.members_frame(message) == frame
    assert record.members_body(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.SUCCESSION)
def test_succession_frames(name: str) -> None:
    case, message = recorded("succession.json")[name], examples.SUCCESSION[name]
    frame = hex_bytes(case, "frame")
    assert codec.Opener([record.KEY], record.NONCE).feed(frame) == [message]
    assert codec.unpack(hex_bytes(case, "body")) == message
    assert record.log_frame(message) == frame
    assert codec.pack(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.OWNER)
def test_owner_frames(name: str) -> None:
    case, message = recorded("owner.json")[name], examples.OWNER[name]
    frame, kinds = hex_bytes(case, "frame"), {**codec.KINDS, **owner.KINDS}
    assert codec.Opener([record.KEY], record.NONCE, kinds).feed(frame) == [message]
    assert codec.unpack(hex_bytes(case, "body"), kinds) == message
    assert record.log_frame(message) == frame
    assert codec.pack(message) == hex_bytes(case, "body")


@pytest.mark.parametrize("name", examples.LOG)
def test_owner_log_entries(name: str) -> None:
    body, entry = hex_bytes(recorded("owner_log.json")[name], "body"), examples.LOG[name]
    assert book.read(body) == entry
    assert book.write(entry) == body


def test_owner_whole() -> None:
    body = hex_bytes(recorded("owner_whole.json")["Book"], "body")
    found, expected = book.read_whole(body, 4), record.ownership_book()
    assert vars(found) == vars(expected)
    assert found.whole() == expected.whole() == body


@pytest.mark.parametrize("name", examples.BATCHES)
def test_batches(name: str) -> None:
    body, batch = hex_bytes(recorded("batches.json")[name], "body"), examples.BATCHES[name]
    assert facts.read_batch(body) == batch
    assert facts.write_batch(batch) == body


def test_a_recorded_whole_is_read_and_written_again() -> None:
    body = (record.DATA / "whole.bin").read_bytes()
    module, standing = facts.read_whole(body, Surroundings(record.HISTORY).trade)
    expected = record.standing(standing.now)
    for name in ("epoch", "out", "zones", "numbers", "timers", "roster", "pins"):
        assert getattr(standing, name) == getattr(expected, name)
    assert {number: vars(table) for number, table in standing.tables.items()} == {
        number: vars(table) for number, table in expected.tables.items()
    }
    assert facts.write_whole(module, standing) == body


def test_a_recorded_whole_names_its_classes_and_fields_as_recorded() -> None:
    body = (record.DATA / "whole.bin").read_bytes()
    assert record.names_of(body) == recorded("whole_names.json")


def test_a_module_written_now_is_the_recorded_one() -> None:
    """The same history leads to the same state, so that the wire names are those of the attributes of old."""
    module, following = record.lived_module()
    whole = facts.write_whole(module, record.standing(following[0][0]))
    assert record.settled(whole) == record.settled((record.DATA / "whole.bin").read_bytes())
    entries = [facts.write_batch(facts.Batch(now, events, [], {})) for now, events in following]
    assert entries == msgpack.unpackb((record.DATA / "following.bin").read_bytes())


def test_recorded_batches_lead_from_the_recorded_whole_to_the_next() -> None:
    trade = Surroundings(record.HISTORY).trade
    module, _ = facts.read_whole((record.DATA / "whole.bin").read_bytes(), trade)
    now = 0.0
    for entry in msgpack.unpackb((record.DATA / "following.bin").read_bytes()):
        batch = facts.read_batch(entry)
        now = batch.now
        module.decide(now, batch.events)
    expected = (record.DATA / "whole_after.bin").read_bytes()
    whole = facts.write_whole(module, record.standing(now))
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
        name: Extra(said_bytes(f"{name}, key").decode(), said_bytes(f"{name}, body"))
        for name in ("burden", "list", "evidence")
    }
    burdens = burden.Burdens("m1", 1)
    assert burdens.take(2.0, extras["burden"])
    assert burdens.told["m0"] == ((7, 1), fleet_facts.BURDEN, 2.0)
    listings = lists.Lists("m1", 1)
    assert listings.take(2.0, extras["list"])
    digest = lists.Digest(born=7, number=1, workers=2, prints=lists.prints(fleet_facts.LISTED))
    assert listings.told["m0"] == (digest, 2.0)
    shared = evidence.Evidence("m1", 1)
    (met,) = shared.take(2.0, extras["evidence"])
    assert met.worker == fleet_facts.REPORT.worker and not met.own
    count = evidence.Count(tries=9.0, voided=1.0, took=2.0, age=0.5)
    assert [told for told, _ in shared.others.values()] == [count]
    result = msgspec.msgpack.decode(said_bytes("probe's result"), type=probing.Told)
    assert result == fleet_facts.PROBED
