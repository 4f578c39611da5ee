"""Hosts one module for each manager on the wire; the instances share nothing."""

import json
from dataclasses import dataclass
from typing import BinaryIO

from dunlinlug.balance import Balancer
from dunlinlug.drill import codec


@dataclass(frozen=True)
class Hosted:
    """A manager's module, and the names of the values in its load reports."""

    module: Balancer
    fields: tuple[str, ...]


def serve(inflow: BinaryIO, outflow: BinaryIO) -> None:
    """Answer each batch with one flushed line until the input ends."""
    instances: dict[str, Hosted] = {}
    for number, line in enumerate(inflow, 1):
        try:
            batch = codec.read_batch(line)
            decisions = _answer(instances, batch)
        except codec.WireFault as fault:
            raise codec.WireFault(f"line {number}: {fault}") from None
        reply = {} if batch.number is None else {"n": batch.number}
        reply["decisions"] = decisions
        outflow.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        outflow.flush()


def _answer(instances: dict[str, Hosted], batch: codec.Batch) -> list[dict]:
    pending: dict[str, list] = {}
    for manager, verb, body in batch.happened:
        if verb == "Detach":
            pending.pop(manager, None)
            instances.pop(manager, None)
        elif verb == "NewInstance":
            pending[manager] = []
            trade = codec.read_start(body)
            instances[manager] = Hosted(Balancer(trade), trade.report_fields)
        elif manager in instances:
            pending.setdefault(manager, []).append(
                codec.read_event(verb, body, instances[manager].fields)
            )
    decisions: list[dict] = []
    for manager, events in pending.items():
        try:
            orders = instances[manager].module.decide(batch.now, events)
            decisions.extend(codec.write_order(manager, order) for order in orders)
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            decisions.append({"verb": "Broken", "manager": manager, "text": text})
    return decisions
