"""Stops a manager: waits for a signal, stops decisions, leaves the fleet, closes the store."""

from collections.abc import Callable

from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.manager.signals import STOP_SIGNALS, SignalReceiver


async def wait_for_stop(signals: SignalReceiver, reload: Callable[[], None]) -> None:
    """Wait for SIGTERM or SIGINT; any other signal received (SIGHUP) calls `reload`."""
    while await signals.receive() not in STOP_SIGNALS:
        reload()


def begin_shutdown(components: ManagerComponents, membership: Membership | None) -> None:
    """Stop the decision loop and leave the membership, before the tasks are cancelled."""
    components.loop.stop()
    if membership is not None:
        membership.leave()


def finish_shutdown(components: ManagerComponents) -> None:
    """Log this run's totals and close the store, after all tasks have ended."""
    components.log_event(
        "manager.stopped",
        batches=components.loop.batch_count,
        most_waited=round(components.channel.peak_queued_entries),
    )
    components.store.close()
