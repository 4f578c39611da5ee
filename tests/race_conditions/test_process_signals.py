"""Signals to a manager process on the platform, and its settings.

Guards against signals that are lost or end the process with a traceback when they arrive before
the settings are read, during a shutdown, together with another signal or while the configuration
file is half written. Also checks restarts under many connections, and errors of unusable settings.
"""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import trio

from bench.restart_time import measure_start
from dunlinlug.net import http
from dunlinlug.platform import environment, server
from dunlinlug.standins.platform import DiscoveryServer
from tests.fixtures.platform_process import (
    ROOT,
    SETTINGS,
    ZONES,
    RunningManager,
    initial_list,
    instance,
    manager_config,
    running_manager,
)
from tests.fixtures.ports import free_ports


async def start(config: Path, log: Path) -> trio.Process:
    with log.open("wb") as out:
        return await trio.lowlevel.open_process(
            [sys.executable, "-m", "dunlinlug.platform"],
            cwd=ROOT,
            stderr=out,
            env={"ROUTER_CONFIG": str(config)},
        )


async def open_pipe_for_settings(config: Path) -> int:
    """Return the write end of a pipe once the manager has opened it to read its settings."""
    os.mkfifo(config)
    return await trio.to_thread.run_sync(
        lambda: os.open(config, os.O_WRONLY), abandon_on_cancel=True
    )


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_a_stop_before_the_settings_are_read_ends_the_manager_without_a_traceback(
    tmp_path: Path, number: int
) -> None:
    config, log, port = tmp_path / "config.json", tmp_path / "log", free_ports(1)[0]
    process = await start(config, log)
    try:
        with trio.fail_after(20):
            pipe = await open_pipe_for_settings(config)
            process.send_signal(number)
            os.write(pipe, json.dumps(manager_config(port)).encode())
            os.close(pipe)
            assert await process.wait() == 0
        assert "Traceback" not in log.read_text()
    finally:
        process.kill()


async def test_a_reload_before_the_settings_are_read_is_done_after_the_start(
    tmp_path: Path,
) -> None:
    config, log, port = tmp_path / "config.json", tmp_path / "log", free_ports(1)[0]
    process = await start(config, log)
    running = RunningManager(process, port, DiscoveryServer([]), config, log)
    try:
        with trio.fail_after(20):
            pipe = await open_pipe_for_settings(config)
            process.send_signal(signal.SIGHUP)
            (tmp_path / "new").write_text(
                json.dumps(manager_config(port, discovery="127.0.0.1:10"))
            )
            (tmp_path / "new").replace(config)
            os.write(pipe, json.dumps(manager_config(port)).encode())
            os.close(pipe)
            assert (await running.until_logged("reload.done"))["discovery"] == ["127.0.0.1", 10]
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
    finally:
        process.kill()


async def test_signals_after_a_stop_have_no_effect(tmp_path: Path) -> None:
    """The shutdown waits for proxies to close their ends; the manager has closed its own."""
    async with running_manager(tmp_path) as running:
        proxies = [await running.connect() for _ in range(3)]
        for n, proxy in enumerate(proxies):
            await proxy.join(n, ZONES[n % 2])
        with trio.fail_after(5):
            await proxies[0].wait_for_table()
            running.process.send_signal(signal.SIGTERM)
            while await proxies[0].receive() is not None:
                pass
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
                running.process.send_signal(number)
            assert await running.process.wait() == 0
        assert running.logged("stopped") and "Traceback" not in running.log.read_text()
        assert not running.logged("reload.done")


async def test_a_stop_and_a_reload_in_one_turn_are_a_stop(tmp_path: Path) -> None:
    async with running_manager(tmp_path) as running:
        await running.join_proxy()
        running.process.send_signal(signal.SIGSTOP)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGCONT):
            running.process.send_signal(number)
        with trio.fail_after(5):
            assert await running.process.wait() == 0
        assert not running.logged("reload.done")


async def test_a_file_read_while_it_is_written_is_read_again(tmp_path: Path) -> None:
    async with running_manager(tmp_path) as running, trio.open_nursery() as nursery:
        proxy = await running.join_proxy()
        config_json = json.loads(running.config.read_text())
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        other = DiscoveryServer([instance(n) for n in (0, 1, 9)])
        nursery.start_soon(http.serve, other.handle, listeners)
        config_json["discovery"] = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        text = json.dumps(config_json)
        with running.config.open("w") as file:
            file.write(text[: len(text) // 2])
            file.flush()
            running.process.send_signal(signal.SIGHUP)
            await running.until_logged("reload.rejected")
            file.write(text[len(text) // 2 :])
        with trio.fail_after(10):
            await proxy.wait_for_table("s-2", "s-3", **{"s-9": 1.0})
        assert len(running.logged("reload.rejected")) == 1
        nursery.cancel_scope.cancel()


async def test_a_manager_suspended_over_a_stop_and_a_lost_discovery_still_ends(
    tmp_path: Path,
) -> None:
    async with running_manager(tmp_path) as running:
        proxy = await running.join_proxy()
        running.process.send_signal(signal.SIGSTOP)
        running.discovery.unresponsive = True
        await proxy.send(message_type="ack", id=3, seq=1, ms=1.0)
        await proxy.stream.aclose()
        running.process.send_signal(signal.SIGTERM)
        running.process.send_signal(signal.SIGCONT)
        with trio.fail_after(5):
            assert await running.process.wait() == 0
        assert "Traceback" not in running.log.read_text()


async def test_a_restart_is_ready_in_time_under_many_connections_without_discovery(
    tmp_path: Path,
) -> None:
    """They try to connect before the manager listens, so that all connections arrive at once."""
    _, seconds_to_alive, _ = await measure_start(tmp_path, 40, 300)
    assert (
        seconds_to_alive < 10 and "connection.internal_error" not in (tmp_path / "log").read_text()
    )


# Settings.


@pytest.mark.parametrize(
    ("where", "value"),
    [
        ("specifics.egressPerS", 0),
        ("specifics.pendingMax", -1),
        ("specifics.perMessage", -4),
        ("rules.startCapacity", 2),
        ("rules.coldUs", -1),
        ("specifics.proxyCount", 0),
        ("specifics.proxyCount", 10**6),
        ("dcs", []),
        ("lanes", []),
        ("specifics.emptyForUs", "soon"),
        ("lanes.0.aimUs", 0),
        ("lanes.1.hardLimitUs", None),
        ("lanes.0.effect", "magic"),
        ("lanes.0.points", -2),
        ("rules.tipMultiple", [3]),
    ],
)
def test_the_error_for_an_unusable_setting_names_it(tmp_path: Path, where: str, value: Any) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    *path, name = where.split(".")
    section: Any = settings
    for step in path:
        section = section[int(step) if step.isdigit() else step]
    section[name] = value
    config = tmp_path / "config.json"
    config.write_text(json.dumps(manager_config(9, settings=settings)))
    with pytest.raises(environment.EnvironmentConfigError) as raised:
        environment.load_config({"ROUTER_CONFIG": str(config)})
    assert name in str(raised.value) and "\n" not in str(raised.value)


def test_an_unusable_setting_ends_the_process_with_one_line_and_status_2(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    settings = {**SETTINGS, "specifics": {**SETTINGS["specifics"], "egressPerS": 0}}
    config.write_text(json.dumps(manager_config(9, settings=settings)))
    completed = subprocess.run(
        [sys.executable, "-m", "dunlinlug.platform"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"ROUTER_CONFIG": str(config)},
        timeout=20,
    )
    assert (
        completed.returncode == 2
        and "egressPerS" in completed.stderr
        and completed.stderr.count("\n") == 1
    )


async def test_an_unsupported_setting_is_logged_and_an_unknown_one_is_ignored(
    tmp_path: Path,
) -> None:
    async with running_manager(
        tmp_path, specifics={"admit": "tokens", "keyRanges": 0, "newIn2030": {"a": [1]}}
    ) as running:
        [unsupported] = running.logged("settings.unsupported")
        assert "admit" in unsupported["what"] and "tokens" in unsupported["what"]
        await running.join_proxy()


async def test_workers_without_warm_up_time_are_used(tmp_path: Path) -> None:
    config, log, port = tmp_path / "config.json", tmp_path / "log", free_ports(1)[0]
    settings = {**SETTINGS, "rules": {**SETTINGS["rules"], "coldUs": 0, "startCapacity": 1.0}}
    known = initial_list(*(instance(n, startedAtMs=1) for n in range(6)))
    config.write_text(json.dumps(manager_config(port, settings=settings, known=known)))
    process = await start(config, log)
    running = RunningManager(process, port, DiscoveryServer([]), config, log)
    try:
        await running.until_logged("ready")
        assert len(await (await running.join_proxy()).wait_for_table()) == 6
    finally:
        process.kill()


def test_the_listen_backlog_holds_every_proxy_of_a_large_fleet() -> None:
    """The server accepts no connection during the test, as during a long batch."""
    listener = server.listen("127.0.0.1", 0)
    connection_count = min(int(Path("/proc/sys/net/core/somaxconn").read_text()), 2 * 1600)
    for _ in range(connection_count):
        with socket.socket() as client:
            client.settimeout(2)
            client.connect(listener.getsockname())
    listener.close()
