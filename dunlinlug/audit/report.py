"""A verdict as text for people."""

from pathlib import Path

from dunlinlug.audit import failure_verdicts as audit_failure_verdicts
from dunlinlug.audit import figures, records, rules
from dunlinlug.fleet.ownership import history
from dunlinlug.scenarios import schema


def report(folder: Path) -> tuple[str, bool]:
    """The text, and whether every rule was kept. Raises RecordFault."""
    scenario_records = records.read_records(folder)
    begin = (
        scenario_records.lines_of("begin")[0]["at"] + scenario_records.lines_of("begin")[0]["lead"]
    )
    violations = rules.find_violations(scenario_records)
    summary = figures.summarize(scenario_records)
    config = scenario_records.config
    lines = [
        f"{config.section(schema.ScenarioConfig).name}: {config.section(schema.ScenarioConfig).length:g} s, {config.section(schema.FleetConfig).workers} workers, "
        f"{config.section(schema.ProxiesConfig).count} proxies; stand-ins on loopback"
    ]
    lines += [
        f"BROKEN {violation.rule} at {violation.at - begin:.2f} s proxy {violation.proxy or '-'} worker {violation.worker or '-'}: {violation.description} "
        f"[{', '.join(violation.evidence) or 'sums over all proxies'}]"
        for violation in violations
    ]
    lines.append(
        "rules: broken, the day counts for nothing" if violations else "rules: all five kept"
    )
    lines.append(
        f"served within the SLA time: {summary.served_fraction:.3f} of revenue, worst 10 s {summary.worst_window_fraction:.3f}, "
        + ", ".join(f"{name} {fraction:.3f}" for name, fraction in summary.by_traffic_class.items())
    )
    lines.append(
        "txns: " + ", ".join(f"{count} {name}" for name, count in sorted(summary.outcomes.items()))
    )
    lines += [
        f"{name}: p50 {p50:.3f} s, p99 {p99:.3f} s"
        for name, (p50, p99) in summary.latencies.items()
    ]
    lines.append(
        f"roster news to last answer: median {summary.propagation_times[0]:.2f} s, longest {summary.propagation_times[1]:.2f} s; "
        f"lines waiting at most {summary.max_queued_entries:.0f}; messages {summary.message_count}"
    )
    if any(folder.glob("manager-*.log")):
        lines += _manager_report(folder)
    return "\n".join(lines), not violations


def _manager_report(folder: Path) -> list[str]:
    """What managers said of each other beside what was done to them."""
    verdicts, faults = audit_failure_verdicts.read_verdicts(folder)
    failure_verdicts = [verdict for verdict in verdicts if verdict.state == "failed"]
    false_verdicts = audit_failure_verdicts.false_verdicts(verdicts, faults)
    down = sum(fault.process_down for fault in faults)
    return [
        f"managers: {down} times down, {len(faults) - down} cuts; "
        f"{len(failure_verdicts)} verdicts, {len(false_verdicts)} of them false",
        *(
            f"FALSE at {verdict.at:.2f} s: {verdict.reporter} says that {verdict.subject} failed: {verdict.reason}"
            for verdict in false_verdicts
        ),
        *_owner_report(folder),
    ]


def _owner_report(folder: Path) -> list[str]:
    """What owners of fleet-wide work did, by its carriers."""
    observations = history.read_logs(folder)
    violations = history.find_violations(observations)
    if not observations:
        return []
    return [
        f"owners: {sum(observation.done for observation in observations)} effects done, {sum(not observation.done for observation in observations)} refused; "
        f"{len(violations)} out of order",
        *(
            f"OUT OF ORDER at {violation.after.executor}: {violation.description}: {violation.before}, then {violation.after}"
            for violation in violations
        ),
    ]
