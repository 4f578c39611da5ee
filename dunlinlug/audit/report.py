"""The result of checking a scenario, as text."""

from pathlib import Path

from dunlinlug.audit import failure_verdicts, figures, records, rules
from dunlinlug.fleet.ownership import history
from dunlinlug.scenarios.schema import FleetConfig, ProxiesConfig, ScenarioConfig


def report(folder: Path) -> tuple[str, bool]:
    """The text of the report, and whether no rule was violated. Raises RecordError."""
    scenario_records = records.read_records(folder)
    violations = rules.find_violations(scenario_records)
    lines = [
        _headline(scenario_records),
        *_violation_lines(scenario_records, violations),
        *_summary_lines(figures.summarize(scenario_records)),
    ]
    if any(folder.glob("manager-*.log")):
        lines += _membership_lines(folder)
        lines += _ownership_lines(folder)
    return "\n".join(lines), not violations


def _headline(scenario_records: records.Records) -> str:
    config = scenario_records.config
    scenario = config.section(ScenarioConfig)
    return (
        f"{scenario.name}: {scenario.length:g} s, {config.section(FleetConfig).workers} workers, "
        f"{config.section(ProxiesConfig).count} proxies; stand-ins on loopback"
    )


def _violation_lines(
    scenario_records: records.Records, violations: list[rules.Violation]
) -> list[str]:
    begin_line = scenario_records.lines_of("begin")[0]
    load_began_at = begin_line["at"] + begin_line["lead"]
    lines = [
        f"BROKEN {violation.rule} at {violation.at - load_began_at:.2f} s "
        f"proxy {violation.proxy or '-'} worker {violation.worker or '-'}: "
        f"{violation.description} [{', '.join(violation.evidence) or 'sums over all proxies'}]"
        for violation in violations
    ]
    lines.append("rules: broken, the figures do not count" if violations else "rules: all kept")
    return lines


def _summary_lines(summary: figures.Summary) -> list[str]:
    served_by_class = ", ".join(
        f"{name} {fraction:.3f}" for name, fraction in summary.by_traffic_class.items()
    )
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(summary.outcomes.items()))
    return [
        f"served within the SLA time: {summary.served_fraction:.3f} of revenue, "
        f"worst 10 s {summary.worst_window_fraction:.3f}, {served_by_class}",
        f"txns: {outcomes}",
        *(
            f"{name}: p50 {latency.p50:.3f} s, p99 {latency.p99:.3f} s"
            for name, latency in summary.latencies.items()
        ),
        f"roster news to last answer: median {summary.propagation_times.median:.2f} s, "
        f"longest {summary.propagation_times.longest:.2f} s; "
        f"lines waiting at most {summary.max_queued_entries:.0f}; "
        f"messages {summary.message_count}",
    ]


def _membership_lines(folder: Path) -> list[str]:
    """The managers' failure verdicts on each other, compared with the injected faults."""
    verdicts, faults = failure_verdicts.read_verdicts(folder)
    failures = [verdict for verdict in verdicts if verdict.state == "failed"]
    false_verdicts = failure_verdicts.false_verdicts(verdicts, faults)
    down = sum(fault.process_down for fault in faults)
    return [
        f"managers: {down} times down, {len(faults) - down} cuts; "
        f"{len(failures)} verdicts, {len(false_verdicts)} of them false",
        *(
            f"FALSE at {verdict.at:.2f} s: {verdict.reporter} reported that "
            f"{verdict.subject} failed: {verdict.reason}"
            for verdict in false_verdicts
        ),
    ]


def _ownership_lines(folder: Path) -> list[str]:
    """The effects of the fleet's tasks and their fencing; empty if no task was executed."""
    observations = history.read_logs(folder)
    if not observations:
        return []
    violations = history.find_violations(observations)
    done = sum(observation.done for observation in observations)
    return [
        f"owners: {done} effects done, {len(observations) - done} refused; "
        f"{len(violations)} out of order",
        *(
            f"OUT OF ORDER at {violation.after.executor}: {violation.description}: "
            f"{violation.before}, then {violation.after}"
            for violation in violations
        ),
    ]
