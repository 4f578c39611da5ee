"""The rules at the real managers, by the project's own audit: bare proxies, late drains, the
channel's pace.

Free of I/O. The rig has no txns: hollow proxies say each second what they would send to, a few
drawn workers of their tables, as tries. So effects done twice, and cold workers that fall over,
can't be told here; the days judge those.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from dunlinlug.audit import rules
from dunlinlug.audit.records import EndpointHistory, ManagerLifetimes, RecordLine, Records
from dunlinlug.client import AppliedResponse
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile

SHOWN = 5
JUDGED = ("bare", "drain", "queue")


def row(at: float, event: str, proxy: str, **said: Any) -> RecordLine:
    """One line of a proxy's record, as the day's stand-ins write it."""
    return {"at": at, "e": event, "proxy": proxy, "where": proxy, **said}


def applied(at: float, proxy: str, done: AppliedResponse) -> RecordLine:
    return row(
        at, "applied", proxy, tag=done.tag, lines=done.entry_count, refused=done.rejection_reason
    )


def states(
    workers: Iterable[str], changes: Mapping[int, Mapping[str, str]]
) -> dict[int, dict[str, list[Any]]]:
    """By version of the list, each worker's state; in the first all are ready."""
    held: dict[str, list[Any]] = {worker: ["ready", None] for worker in workers}
    found = {}
    for index, changed in sorted(changes.items()):
        held = {**held, **{worker: [state, None] for worker, state in changed.items()}}
        found[index] = held
    return found


def judge(
    book: ConfigFile,
    lines: Iterable[RecordLine],
    taken: Sequence[tuple[int, float]],
    listed: Mapping[int, Mapping[str, Any]],
    ends: float,
) -> list[rules.Violation]:
    """Of one manager that ran all the time: what its proxies recorded, and the versions of the list
    that it took and when; all in seconds on the manager's clock, which began at 0.
    """
    records = Records(book)
    for line in sorted(lines, key=lambda line: float(line["at"])):
        records.by_event[line["e"]].append(line)
    records.by_event["manager"].append({"at": 0.0, "e": "manager", "do": "start"})
    for index, at in taken:
        records.by_event["served"].append(
            {"at": at, "e": "served", "index": index, "states": listed[index]}
        )
    records.by_event["end"].append({"at": ends, "e": "end"})
    managed = ManagerLifetimes(records)
    told = EndpointHistory(records, managed)
    return [
        *rules.without_endpoint(records, managed, told),
        *rules.drained_workers(records, managed, told),
        *rules.channel_queue(records),
    ]


def summed(found: Iterable[rules.Violation], lines: int, tries: int) -> dict[str, Any]:
    """Danger: rules are kept where nothing was recorded, so it is said on how much this rests."""
    breaks = sorted(found, key=lambda item: item.at)
    return {
        "lines": lines,
        "tries": tries,
        **{rule: sum(item.rule == rule for item in breaks) for rule in JUDGED},
        "shown": [
            f"{item.at:.2f} s {item.rule} {item.proxy} {item.worker}: {item.description}"
            for item in breaks[:SHOWN]
        ],
    }


def book_of(path: Any) -> ConfigFile:
    return manager_config.load_manager_config(path)
