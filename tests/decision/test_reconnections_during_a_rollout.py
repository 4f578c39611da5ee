"""Proxies that disconnect and reconnect while most of the endpoints are replaced."""

import pytest

from dunlinlug.decision.events import EndpointsUpdated, Event, ProxyConnected, ProxyDisconnected
from dunlinlug.decision.settings import ChannelSettings
from tests.decision.rules_model import ZONES, Model, endpoint, manager_settings

ENDPOINTS = 24
PROXIES = 15
REPLACED = 14
STEP = 0.05  # seconds
# Seconds from the first drain at which a proxy disconnects, by proxy; it is away for AWAY seconds.
DISCONNECTED_AT = {3: 4.2, 7: 5.2, 11: 6.2}
AWAY = 1.5


def events_at(step: int, start: float, model: Model) -> list[Event]:
    """Return the events of one step: a drain each half second, its successor 0.25 s later."""
    events = list[Event]()
    for position in range(REPLACED):
        if step == round(position * 0.5 / STEP):
            draining = endpoint(position, "draining")
            events.append(EndpointsUpdated("changes", (draining,)))
        if step == round((position * 0.5 + 0.25) / STEP):
            successor = endpoint(100 + position, "ready", start + step * STEP)
            events.append(EndpointsUpdated("changes", (successor,)))
    for proxy, at in DISCONNECTED_AT.items():
        if step == round(at / STEP):
            events.append(ProxyDisconnected(proxy))
        if step == round((at + AWAY) / STEP):
            events.append(ProxyConnected(proxy, ZONES[proxy % 3], 10.0, False))
    return events


@pytest.mark.parametrize("max_messages", [20, 30])
def test_a_proxy_that_reconnects_during_a_rollout_gets_its_table_within_the_drain_grace(
    max_messages: int,
) -> None:
    # Review case 8: its first table waited until messages to its earlier streams were 10 s old.
    channel = ChannelSettings(2300.0, 10.0, 4600.0, 0.25, 0.5, max_messages, 10.0)
    model = Model(manager_settings(channel=channel))
    listed = tuple(endpoint(n) for n in range(ENDPOINTS))
    model.step(0.1, [EndpointsUpdated("kept", listed)])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 10.0, True) for p in range(PROXIES)])
    for _ in range(240):
        model.step(STEP, [])
    start = model.now
    waited = dict.fromkeys(DISCONNECTED_AT, 0.0)
    for step in range(round(16.0 / STEP)):
        model.step(STEP, events_at(step, start, model))
        for proxy in DISCONNECTED_AT:
            if proxy in model.connected_at and not model.assigned[proxy]:
                waited[proxy] += STEP
    assert max(waited.values()) <= 0.5, waited
    assert not model.violated_rules
