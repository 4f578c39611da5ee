"""The wire form of the decision module's state, and the conversion in both directions.

On the wire the state is one flat object, because the module was a single class when the form was
defined; `MODULE` maps each wire name to an attribute path in `DecisionState`. The forms of the
values' classes are in `module_forms.py`.
"""

from collections.abc import Sequence
from typing import Any

from dunlinlug.balance import Balancer
from dunlinlug.decision.decision_state import BlockedOrders, DecisionState, ListPolling, Timers
from dunlinlug.decision.parameters import DecisionParameters
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.decision.state.table_versions import TableVersions
from dunlinlug.fleet.election.serialization import FieldFormError, SerializationError, WireForm

# Values by wire name or attribute path; their types are plain or classes with a wire form.
StateFields = dict[str, Any]

# Objects of the module's state that have no object of their own on the wire: their attributes are
# written among the module's, where they were when the module was a single class.
INLINED_OBJECTS: dict[str, type] = {
    "parameters": DecisionParameters,
    "list_polling": ListPolling,
    "blocked": BlockedOrders,
    "tables": TableVersions,
    "timers": Timers,
}


class ModuleForm(WireForm):
    """The form of the module's state; `part.attribute` is an attribute of an inlined part."""

    def extract_fields(self, instance: Any) -> StateFields:
        """Return the values by wire name, with those of inlined parts among them.

        Raises FieldFormError if an attribute is not declared, or a declared one is missing.
        """
        return super().extract_fields(FlatAttributes(instance))

    def set_attributes(self, state: DecisionState, values: StateFields) -> None:
        """Set attributes of the state and its inlined parts, given values by path."""
        for path, value in values.items():
            part_name, _, attribute = path.rpartition(".")
            part = getattr(state, part_name) if part_name else state
            setattr(part, attribute, value)


class FlatAttributes:
    """The attributes of a module's state, with those of inlined parts under their paths."""

    def __init__(self, state: Any) -> None:
        for name, value in vars(state).items():
            if name not in INLINED_OBJECTS:
                setattr(self, name, value)
                continue
            for attribute, inner_value in vars(value).items():
                setattr(self, f"{name}.{attribute}", inner_value)


MODULE = ModuleForm(
    DecisionState,
    "Balancer",
    {
        "products": "parameters.class_count",
        "usual_retry": "parameters.default_retry_policy",
        "ask_every": "parameters.list_poll_interval",
        "warm_after": "parameters.warm_up_time",
        "bears": "parameters.min_overload_multiple",
        "may_probe": "parameters.can_check_health",
        "sliced": "parameters.is_sharded",
        "standing": "parameters.subset_size",
        "home": "parameters.same_zone_classes",
        "each": "parameters.entries_per_endpoint",
        "fleet": "fleet",
        "account": "budget",
        "lines": "desired_weights",
        "cold": "warming_rows",
        "health": "outlier_detector",
        "gate": "admission_controller",
        "admits": "parameters.controls_admission",
        "all_in": "parameters.full_admission",
        "seating": "assignments",
        "current": "tables.current_tables",
        "changes": "tables.staged_updates",
        "armed": "timers.armed",
        "versions": "tables.last_version",
        "last_mark": "last_ack_number",
        "last_number": "tables.last_table_id",
        "last_token": "timers.last_token",
        "out": "ejected_rows",
        "small": "tables.subset_tables",
        "since": "tables.silent_since",
        "ask_at": "list_polling.retry_at",
        "ask_wait": "list_polling.retry_delay",
        "noted": "logged_limits",
        "told": "sharding_logged",
        "scant": "is_channel_constrained",
        "barred": "blocked.rows",
        "kept": "blocked.classes",
        "pins": "overrides",
        "means": "partition_limits",
        "moved": "rows_to_plan",
    },
    local=("rng", "slow_start", "last_batch", "blocked.mandatory_ejections"),
)

# Wire names of the objects that are updated in place: a new module's own ones hold attributes that
# are not sent.
UPDATED_IN_PLACE = ("fleet", "account", "health", "gate", "seating", "lines")
RANDOM_STATE = "chance"  # wire name of the state of the module's random generator


def fields_of(module: Balancer) -> StateFields:
    """Return the module's whole state by wire name.

    Raises FieldFormError if an attribute is not declared, or a declared one is missing.
    """
    fields = MODULE.extract_fields(module.state)
    fields[RANDOM_STATE] = module.state.rng.getstate()
    return fields


def restore_module(fields: StateFields, settings: ManagerSettings) -> Balancer:
    """Return a module with the state in these fields.

    Raises SerializationError if a field is missing, unknown or of the wrong class, or if the fields
    come from a module with other settings.
    """
    values = MODULE.attribute_values(_declared_pairs(fields))
    if RANDOM_STATE not in fields:
        raise FieldFormError(MODULE, RANDOM_STATE, "missing")
    module = Balancer(settings)
    state = module.state
    updated_in_place = {name: MODULE.fields[name] for name in UPDATED_IN_PLACE}
    for name, attribute in updated_in_place.items():
        if type(values[attribute]) is not type(getattr(state, attribute)):
            raise FieldFormError(MODULE, name, "of another class")
    _check_settings(values, settings)
    for attribute in updated_in_place.values():
        vars(getattr(state, attribute)).update(vars(values.pop(attribute)))
    MODULE.set_attributes(state, values)
    state.outlier_detector.rebuild_derived()
    state.assignments.rebuild_derived()
    state.rng.setstate(fields[RANDOM_STATE])
    return module


def _declared_pairs(fields: StateFields) -> Sequence[tuple[str, Any]]:
    """Return the fields that the form declares: all but the state of the random generator."""
    return [(name, value) for name, value in fields.items() if name != RANDOM_STATE]


def _check_settings(values: StateFields, settings: ManagerSettings) -> None:
    """Raise SerializationError if these values come from a module with other settings."""
    channel = values[MODULE.fields["account"]].channel
    table_count = len(values[MODULE.fields["current"]])
    if channel != settings.channel or table_count not in (0, len(settings.traffic_classes)):
        raise SerializationError("made with other settings; all members need the same settings")
