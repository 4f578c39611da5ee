"""Test processes that run side by side are given different ports."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
ANSWER_TIMEOUT_S = 60.0
# Draws as every other of these processes does, and keeps what it got until its input ends.
DRAW = """
import sys
from random import Random
from unittest.mock import patch
from {module} import {function}
with patch("{module}.Random", lambda *_: Random(5)):
    print({call}, flush=True)
sys.stdin.read()
"""
TESTS = DRAW.format(module="tests.fixtures.ports", function="free_ports", call="*free_ports(3)")
SCALE = DRAW.format(
    module="bench.scale.stage",
    function="assign_addresses",
    call="*(port for _, port in assign_addresses(['a', 'b', 'c']).values())",
)


def test_processes_that_draw_alike_are_given_different_ports() -> None:
    """Guards against an address in use where several test processes run at once."""
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", text],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for text in (TESTS, TESTS, SCALE, SCALE)
    ]
    try:
        drawn = [process.stdout.readline().split() for process in processes if process.stdout]
    finally:
        for process in processes:
            process.communicate(timeout=ANSWER_TIMEOUT_S)
    assert [len(ports) for ports in drawn] == [3, 3, 3, 3]
    assert len({port for ports in drawn for port in ports}) == 12
