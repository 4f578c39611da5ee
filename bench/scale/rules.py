"""Checks rules at the real managers by the project's audit: bare proxies, drains, channel pace.

Free of I/O. A run has no requests: simulated proxies record some workers of their tables each
second as attempts. Duplicate effects and overloaded cold workers can therefore not be detected
here; the recorded days check those.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from dunlinlug.audit import rules
from dunlinlug.audit.records import EndpointHistory, ManagerLifetimes, RecordLine, Records
from dunlinlug.client import AppliedResponse
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile

MAX_SHOWN = 5
CHECKED_RULES = ("bare", "drain", "queue")


def record_line(at: float, event: str, proxy: str, **details: Any) -> RecordLine:
    """Return one line of a proxy's record, in the format of the recorded days."""
    return {"at": at, "e": event, "proxy": proxy, "where": proxy, **details}


def applied_line(at: float, proxy: str, response: AppliedResponse) -> RecordLine:
    """Return the record line of a response that a proxy applied."""
    return record_line(
        at,
        "applied",
        proxy,
        tag=response.tag,
        lines=response.entry_count,
        refused=response.rejection_reason,
    )


def states_by_version(
    workers: Iterable[str], changes: Mapping[int, Mapping[str, str]]
) -> dict[int, dict[str, list[Any]]]:
    """Return the state of each worker by version of the list; in the first all are ready."""
    held: dict[str, list[Any]] = {worker: ["ready", None] for worker in workers}
    found = {}
    for index, changed in sorted(changes.items()):
        held = {**held, **{worker: [state, None] for worker, state in changed.items()}}
        found[index] = held
    return found


def find_violations(
    config: ConfigFile,
    lines: Iterable[RecordLine],
    taken: Sequence[tuple[int, float]],
    listed: Mapping[int, Mapping[str, Any]],
    ends_at: float,
) -> list[rules.Violation]:
    """Return the violations at one manager that was never stopped.

    `lines` are the records of its proxies, `taken` the versions of the list that it received and
    when. All times are seconds on the manager's clock, which started at 0.
    """
    records = Records(config)
    for line in sorted(lines, key=lambda line: float(line["at"])):
        records.by_event[line["e"]].append(line)
    records.by_event["manager"].append({"at": 0.0, "e": "manager", "do": "start"})
    for index, at in taken:
        records.by_event["served"].append(
            {"at": at, "e": "served", "index": index, "states": listed[index]}
        )
    records.by_event["end"].append({"at": ends_at, "e": "end"})
    lifetimes = ManagerLifetimes(records)
    history = EndpointHistory(records, lifetimes)
    return [
        *rules.without_endpoint(records, lifetimes, history),
        *rules.drained_workers(records, lifetimes, history),
        *rules.channel_queue(records),
    ]


def summarize(found: Iterable[rules.Violation], lines: int, tries: int) -> dict[str, Any]:
    """Summarize the violations.

    Includes the number of checked lines, as a run without records has no violations either.
    """
    violations = sorted(found, key=lambda item: item.at)
    return {
        "lines": lines,
        "tries": tries,
        **{rule: sum(item.rule == rule for item in violations) for rule in CHECKED_RULES},
        "shown": [
            f"{item.at:.2f} s {item.rule} {item.proxy} {item.worker}: {item.description}"
            for item in violations[:MAX_SHOWN]
        ],
    }


def load_config(path: Any) -> ConfigFile:
    """Load the configuration of a real manager."""
    return manager_config.load_manager_config(path)
