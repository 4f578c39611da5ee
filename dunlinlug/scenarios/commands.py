"""Commands to the processes of a scenario, one JSON object per line of standard input.

`do` is the action, the other keys are its arguments. Commands are recorded unchanged. By target,
the actions and their arguments are:

    workers    slow, silent, voiding, answers_lost: worker, size; well, down, back: worker
    proxies    break, restart, deaf, hear: proxies; cut: proxies, zone
    roster     state: workers, state, started; fault: fault; double: on; index
    members    cut, heal: pairs; loss, late, double: size
    manager    kill, stall, slow: size; halt: size, lasts; start, go on, pace
"""

from typing import Any

Command = dict[str, Any]
