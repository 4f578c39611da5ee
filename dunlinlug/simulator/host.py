"""Hosts one module for each manager on the wire; the instances share nothing."""

import json
from dataclasses import dataclass
from typing import Any, BinaryIO

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.simulator import codec


@dataclass(frozen=True)
class HostedModule:
    """A manager's module, and the names of the values in its load reports."""

    module: Balancer
    load_fields: tuple[str, ...]


def serve(input_stream: BinaryIO, output_stream: BinaryIO) -> None:
    """Answer each batch with one flushed line until the input ends."""
    instances: dict[str, HostedModule] = {}
    for line_number, line in enumerate(input_stream, 1):
        try:
            batch = codec.read_batch(line)
            decisions = _decide_batch(instances, batch)
        except codec.WireError as error:
            raise codec.WireError(f"line {line_number}: {error}") from None
        reply: dict[str, Any] = {} if batch.number is None else {"n": batch.number}
        reply["decisions"] = decisions
        output_stream.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        output_stream.flush()


def _decide_batch(
    instances: dict[str, HostedModule], batch: codec.EventBatch
) -> list[dict[str, Any]]:
    pending: dict[str, list[Event]] = {}
    for manager, verb, body in batch.events:
        if verb == "Detach":
            pending.pop(manager, None)
            instances.pop(manager, None)
        elif verb == "NewInstance":
            pending[manager] = []
            settings = codec.read_settings_event(body)
            instances[manager] = HostedModule(Balancer(settings), settings.load_report_fields)
        elif manager in instances:
            pending.setdefault(manager, []).append(
                codec.read_event(verb, body, instances[manager].load_fields)
            )
    decisions: list[dict[str, Any]] = []
    for manager, events in pending.items():
        try:
            orders = instances[manager].module.decide(batch.now, events)
            decisions.extend(codec.write_order(manager, order) for order in orders)
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            decisions.append({"verb": "Broken", "manager": manager, "text": text})
    return decisions
