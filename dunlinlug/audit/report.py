"""A verdict as text for people."""

from pathlib import Path

from dunlinlug.audit import beliefs, figures, records, rules
from dunlinlug.day import terms
from dunlinlug.fleet.owner import history


def report(folder: Path) -> tuple[str, bool]:
    """The text, and whether every rule was kept. Raises RecordFault."""
    found = records.read(folder)
    begin = found.of("begin")[0]["at"] + found.of("begin")[0]["lead"]
    breaks, sums = rules.judge(found), figures.figures(found)
    book = found.book
    out = [
        f"{book.one(terms.Day).name}: {book.one(terms.Day).length:g} s, {book.one(terms.Fleet).workers} workers, "
        f"{book.one(terms.Proxies).count} proxies; stand-ins on loopback"
    ]
    out += [
        f"BROKEN {b.rule} at {b.at - begin:.2f} s proxy {b.proxy or '-'} worker {b.worker or '-'}: {b.said} "
        f"[{', '.join(b.evidence) or 'sums over all proxies'}]"
        for b in breaks
    ]
    out.append("rules: broken, the day counts for nothing" if breaks else "rules: all five kept")
    out.append(
        f"served within the SLA time: {sums.served:.3f} of revenue, worst 10 s {sums.worst:.3f}, "
        + ", ".join(f"{name} {part:.3f}" for name, part in sums.by_product.items())
    )
    out.append("txns: " + ", ".join(f"{n} {name}" for name, n in sorted(sums.outcomes.items())))
    out += [f"{name}: p50 {p50:.3f} s, p99 {p99:.3f} s" for name, (p50, p99) in sums.times.items()]
    out.append(
        f"roster news to last answer: median {sums.news[0]:.2f} s, longest {sums.news[1]:.2f} s; "
        f"lines waiting at most {sums.waited:.0f}; messages {sums.messages}"
    )
    if any(folder.glob("manager-*.log")):
        out += _of_managers(folder)
    return "\n".join(out), not breaks


def _of_managers(folder: Path) -> list[str]:
    """What managers said of each other beside what was done to them."""
    believed, struck = beliefs.read(folder)
    failed, wrong = [b for b in believed if b.state == "failed"], beliefs.false(believed, struck)
    down = sum(fault.down for fault in struck)
    return [
        f"managers: {down} times down, {len(struck) - down} cuts; "
        f"{len(failed)} verdicts, {len(wrong)} of them false",
        *(f"FALSE at {b.at:.2f} s: {b.by} says that {b.of} failed: {b.why}" for b in wrong),
        *_of_owners(folder),
    ]


def _of_owners(folder: Path) -> list[str]:
    """What owners of fleet-wide work did, by its carriers."""
    seen = history.of_logs(folder)
    broken = history.judge(seen)
    if not seen:
        return []
    return [
        f"owners: {sum(one.done for one in seen)} effects done, {sum(not one.done for one in seen)} refused; "
        f"{len(broken)} out of order",
        *(
            f"OUT OF ORDER at {b.after.carrier}: {b.said}: {b.before}, then {b.after}"
            for b in broken
        ),
    ]
