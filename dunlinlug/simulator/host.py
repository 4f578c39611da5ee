"""Runs an independent decision module for each of the simulator's managers."""

import json
from dataclasses import dataclass
from typing import BinaryIO

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.simulator import codec

# The events that start and stop a manager.
START_VERB = "NewInstance"
STOP_VERB = "Detach"


@dataclass(frozen=True)
class HostedModule:
    """A manager's decision module, and the names of the values in its load reports."""

    module: Balancer
    load_fields: tuple[str, ...]


def serve(input_stream: BinaryIO, output_stream: BinaryIO) -> None:
    """Answer each batch with one line, flushed immediately, until the input ends.

    Raises WireError, which gives the line's number, for a line that violates the wire protocol.
    """
    instances: dict[str, HostedModule] = {}
    for line_number, line in enumerate(input_stream, 1):
        try:
            batch = codec.read_batch(line)
            decisions = _decide_batch(instances, batch)
        except codec.WireError as error:
            raise codec.WireError(f"line {line_number}: {error}") from None
        reply: codec.JsonObject = {} if batch.number is None else {"n": batch.number}
        reply["decisions"] = decisions
        output_stream.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        output_stream.flush()


def _decide_batch(
    instances: dict[str, HostedModule], batch: codec.EventBatch
) -> list[codec.JsonObject]:
    """Start and stop managers, pass each its events, and return their encoded orders."""
    events_by_manager: dict[str, list[Event]] = {}
    for event in batch.events:
        manager = event.manager
        if event.verb == STOP_VERB:
            events_by_manager.pop(manager, None)
            instances.pop(manager, None)
        elif event.verb == START_VERB:
            events_by_manager[manager] = []
            settings = codec.read_settings_event(event.body)
            instances[manager] = HostedModule(Balancer(settings), settings.load_report_fields)
        elif manager in instances:
            read = codec.read_event(event.verb, event.body, instances[manager].load_fields)
            events_by_manager.setdefault(manager, []).append(read)
    decisions: list[codec.JsonObject] = []
    for manager, events in events_by_manager.items():
        decisions.extend(_decide(manager, instances[manager].module, batch.now, events))
    return decisions


def _decide(
    manager: str, module: Balancer, now: float, events: list[Event]
) -> list[codec.JsonObject]:
    """Return a manager's encoded orders; a module that raises is reported as broken.

    All exceptions are caught, as one manager's error must not end the simulation of the others.
    """
    try:
        return [codec.write_order(manager, order) for order in module.decide(now, events)]
    except Exception as error:
        text = f"{type(error).__name__}: {error}"
        return [{"verb": "Broken", "manager": manager, "text": text}]
