"""Test processes that run at the same time allocate different ports."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
ANSWER_TIMEOUT_S = 60.0
# Draws the same random candidates in each process, and holds its ports until standard input ends.
ALLOCATION_SCRIPT = """
import sys
from random import Random
from unittest.mock import patch
from {module} import {function}
with patch("{module}.Random", lambda *_: Random(5)):
    print({call}, flush=True)
sys.stdin.read()
"""
TESTS_SCRIPT = ALLOCATION_SCRIPT.format(
    module="tests.fixtures.ports", function="free_ports", call="*free_ports(3)"
)
SCALE_SCRIPT = ALLOCATION_SCRIPT.format(
    module="bench.scale.stage",
    function="assign_addresses",
    call="*(port for _, port in assign_addresses(['a', 'b', 'c']).values())",
)


def test_processes_with_the_same_random_candidates_allocate_different_ports() -> None:
    """Guards against \"address already in use\" when several test processes run at once."""
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", text],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for text in (TESTS_SCRIPT, TESTS_SCRIPT, SCALE_SCRIPT, SCALE_SCRIPT)
    ]
    try:
        allocated = [process.stdout.readline().split() for process in processes if process.stdout]
    finally:
        for process in processes:
            process.communicate(timeout=ANSWER_TIMEOUT_S)
    assert [len(ports) for ports in allocated] == [3, 3, 3, 3]
    assert len({port for ports in allocated for port in ports}) == 12
