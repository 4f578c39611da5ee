"""Each class and field that managers send declares its wire name; nothing else is sent."""

from collections import deque
from copy import copy
from dataclasses import dataclass, field, fields, is_dataclass
from functools import cache
from typing import Any, ClassVar

import msgpack
import pytest

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.decision.slow_start import SlowStart
from dunlinlug.decision.state.last_batch import LastBatch
from dunlinlug.fleet.election import codec, module_state, replicated_state
from dunlinlug.fleet.election import messages as election
from dunlinlug.fleet.election.serialization import (
    FieldFormError,
    ObjectSerializer,
    SerializationError,
    WireForm,
)
from dunlinlug.fleet.ownership import messages as ownership
from dunlinlug.fleet.sealing import AuthenticationError
from dunlinlug.fleet.wire_names import by_wire_name, wire
from tests.recorded import fleet_examples as examples
from tests.recorded import record_fleet as record

FORMS = {form.name: form for form in (*replicated_state.FORMS, module_state.MODULE)}
ANOTHER = "another_attribute"


def walk(value: Any, found: dict[type, Any], seen: set[int]) -> None:
    """Collect the first instance of each class of this package among the values that are sent."""
    if isinstance(value, dict):
        for pair in value.items():
            walk(pair, found, seen)
    elif isinstance(value, list | tuple | set | deque):
        for part in value:
            walk(part, found, seen)
    elif type(value).__module__.startswith("dunlinlug.") and id(value) not in seen:
        seen.add(id(value))
        found.setdefault(type(value), value)
        walk(vars(value), found, seen)


@cache
def module_after_history() -> Balancer:
    return record.module_after_history()[0]


@cache
def instances() -> dict[type, Any]:
    found: dict[type, Any] = {}
    seen: set[int] = set()
    for value in (
        module_after_history().state,
        record.replica_snapshot(0.0),
        *examples.BATCHES.values(),
    ):
        walk(value, found, seen)
    return found


def attributes_of(form: WireForm, instance: Any) -> set[str]:
    """The attributes that a form has to declare, with those of inlined objects of the module."""
    if form is not module_state.MODULE:
        return set(vars(instance))
    parts = module_state.INLINED_OBJECTS
    own = vars(instance).keys() - parts.keys()
    return own.union(
        *({f"{name}.{key}" for key in vars(getattr(instance, name))} for name in parts)
    )


def without(instance: Any, path: str) -> Any:
    """A copy of an object without the attribute at this path."""
    reduced = copy(instance)
    part_name, _, attribute = path.rpartition(".")
    part = reduced
    if part_name:
        part = copy(getattr(reduced, part_name))
        object.__setattr__(reduced, part_name, part)
    del vars(part)[attribute]
    return reduced


def test_every_class_that_is_sent_has_one_form_and_every_form_a_class() -> None:
    inlined = {*module_state.INLINED_OBJECTS.values()}
    # Each manager derives them, from its settings and from the batches that it decides or replays.
    local = {SlowStart, LastBatch}
    assert instances().keys() == {form.kind for form in FORMS.values()} | inlined | local
    assert not inlined & {form.kind for form in FORMS.values()}
    for name, kind in module_state.INLINED_OBJECTS.items():
        assert type(getattr(module_after_history().state, name)) is kind
    assert len(FORMS) == len(replicated_state.FORMS) + 1


def test_every_event_has_a_form() -> None:
    events = {kind for kind in Event.__args__}
    assert events <= {form.kind for form in FORMS.values()}


@pytest.mark.parametrize("name", FORMS)
def test_a_form_names_each_attribute_of_its_class_once(name: str) -> None:
    form = FORMS[name]
    attributes = [*form.fields.values(), *form.local]
    assert len(set(attributes)) == len(attributes)
    assert set(attributes) == attributes_of(form, instances()[form.kind])
    if is_dataclass(form.kind):
        assert [*form.fields.values()] == [each.name for each in fields(form.kind)]


@pytest.mark.parametrize("name", FORMS)
def test_an_undeclared_attribute_is_rejected_when_serialized(name: str) -> None:
    form = FORMS[name]
    instance = copy(instances()[form.kind])
    object.__setattr__(instance, ANOTHER, 1)
    with pytest.raises(FieldFormError, match=ANOTHER) as caught:
        ObjectSerializer(*FORMS.values()).serialize(instance)
    assert (caught.value.class_name, caught.value.field) == (name, ANOTHER)


@pytest.mark.parametrize("name", [name for name, form in FORMS.items() if form.fields])
def test_a_missing_attribute_is_rejected_when_serialized(name: str) -> None:
    form = FORMS[name]
    attribute = next(iter(form.fields.values()))
    instance = without(instances()[form.kind], attribute)
    with pytest.raises(FieldFormError) as caught:
        ObjectSerializer(*FORMS.values()).serialize(instance)
    assert (caught.value.class_name, caught.value.field) == (name, attribute)


@pytest.mark.parametrize("name", module_state.INLINED_OBJECTS)
def test_an_inlined_object_with_wrong_attributes_is_rejected_when_serialized(name: str) -> None:
    state = copy(module_after_history().state)
    part = copy(getattr(state, name))
    setattr(state, name, part)
    setattr(part, ANOTHER, 1)
    with pytest.raises(FieldFormError, match="not declared") as caught:
        module_state.MODULE.extract_fields(state)
    assert (caught.value.class_name, caught.value.field) == ("Balancer", f"{name}.{ANOTHER}")
    delattr(part, ANOTHER)
    attribute = next(iter(vars(part)))
    with pytest.raises(FieldFormError, match="not an attribute") as caught:
        module_state.MODULE.extract_fields(without(state, f"{name}.{attribute}"))
    assert caught.value.field == f"{name}.{attribute}"


@pytest.mark.parametrize("name", FORMS)
def test_unknown_missing_or_repeated_fields_are_rejected_when_deserialized(name: str) -> None:
    reader = ObjectSerializer(*FORMS.values())
    pairs = [part for wire_name in FORMS[name].fields for part in (wire_name, 1)]
    cases = {"unknown here": [*pairs, "surplus", 1], "missing": pairs[2:]}
    if len(pairs) > 2:
        cases["duplicated"] = [*pairs, *pairs[:2]]
    for problem, found in cases.items():
        with pytest.raises(FieldFormError, match=problem) as caught:
            reader.deserialize(msgpack.packb(["o", 0, name, *found]))
        assert caught.value.class_name == name


def test_a_duplicated_field_is_named_in_the_error() -> None:
    """Guards against naming the last field that was read."""
    form = FORMS["Table"]
    pairs = [(wire_name, 1) for wire_name in form.fields]
    with pytest.raises(FieldFormError, match="duplicated") as caught:
        form.attribute_values([*pairs[:3], *pairs[1:]])
    assert caught.value.field == pairs[1][0]


def test_a_module_with_unknown_or_missing_fields_is_rejected() -> None:
    trade = record.SimulatedEnvironment(record.HISTORY_SEED).settings
    found = module_state.fields_of(module_after_history())
    for name in found:
        with pytest.raises(FieldFormError, match="missing") as caught:
            module_state.restore_module({key: found[key] for key in found if key != name}, trade)
        assert (caught.value.class_name, caught.value.field) == ("Balancer", name)
    with pytest.raises(FieldFormError, match="unknown here"):
        module_state.restore_module({**found, "surplus": 1}, trade)
    for name in module_state.UPDATED_IN_PLACE:
        with pytest.raises(FieldFormError, match="of another class"):
            module_state.restore_module({**found, name: 1}, trade)


def test_names_of_classes_and_attributes_are_not_serialized() -> None:
    @dataclass
    class Renamed:
        count: int

    @dataclass
    class Former:
        number: int

    present = ObjectSerializer(WireForm(Renamed, "Former", {"number": "count"}))
    former = ObjectSerializer(WireForm(Former, "Former", {"number": "number"}))
    assert present.serialize(Renamed(7)) == former.serialize(Former(7))
    assert present.deserialize(former.serialize(Former(7))) == Renamed(7)
    with pytest.raises(SerializationError):
        present.serialize(Former(7))
    with pytest.raises(TypeError):
        ObjectSerializer(WireForm(Former, "Former", {}), WireForm(Renamed, "Former", {}))


def test_names_of_message_classes_and_attributes_are_not_encoded() -> None:
    @dataclass(frozen=True)
    class Renamed:
        WIRE_NAME: ClassVar[str] = "Pass"
        epoch: int = field(metadata=wire("term"))
        member: str = field(metadata=wire("sender"))

    body = codec.encode(election.TransferLeadership(term=5, sender="m1"))
    assert codec.encode(Renamed(epoch=5, member="m1")) == body
    assert codec.decode(body, by_wire_name([Renamed])) == Renamed(epoch=5, member="m1")


def test_messages_without_wire_names_are_rejected() -> None:
    @dataclass(frozen=True)
    class Unnamed:
        term: int = field(metadata=wire("term"))

    @dataclass(frozen=True)
    class PartlyNamed:
        WIRE_NAME: ClassVar[str] = "Halfway"
        term: int = field(metadata=wire("term"))
        sender: str

    @dataclass(frozen=True)
    class RepeatedName:
        WIRE_NAME: ClassVar[str] = "Twice"
        term: int = field(metadata=wire("term"))
        other: int = field(metadata=wire("term"))

    for message in (Unnamed(1), PartlyNamed(1, "m0"), RepeatedName(1, 2)):
        with pytest.raises(TypeError, match="declares no"):
            codec.encode(message)
        with pytest.raises(TypeError, match="declares no"):
            by_wire_name([type(message)])


def test_every_message_has_an_example() -> None:
    for kinds, messages in (
        (codec.MESSAGE_TYPES, examples.ELECTION),
        (ownership.MESSAGE_TYPES, examples.OWNERSHIP),
    ):
        assert {type(message) for message in messages.values()} == set(kinds.values())


def test_a_message_with_an_unknown_or_missing_field_fails_authentication() -> None:
    for kinds, messages in (
        (codec.MESSAGE_TYPES, examples.ELECTION),
        (ownership.MESSAGE_TYPES, examples.OWNERSHIP),
    ):
        for message in messages.values():
            name, found = msgpack.unpackb(codec.encode(message))
            with pytest.raises(AuthenticationError):
                codec.decode(msgpack.packb([name, {**found, "surplus": 1}]), kinds)
            del found["sender"]
            with pytest.raises(AuthenticationError):
                codec.decode(msgpack.packb([name, found]), kinds)
