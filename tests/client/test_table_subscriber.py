"""The subscription to the leader: the time since anything was received."""

import trio

from dunlinlug.client import ProxyState, ReportAccumulator, TableSubscriber


async def test_silence_is_measured_while_no_manager_is_reachable() -> None:
    subscriber = TableSubscriber(
        "p",
        "north",
        [("127.0.0.1", 9)],
        ProxyState(),
        ReportAccumulator("p", "north"),
        reconnect_interval=0.05,
    )
    with trio.move_on_after(0.2):
        await subscriber.run()
    assert subscriber.silence_duration() is None
    subscriber.last_received_at = trio.current_time() - 3.0
    silence = subscriber.silence_duration()
    assert silence is not None and 3.0 <= silence < 4.0
