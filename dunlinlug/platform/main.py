"""The manager's process on the platform: its settings, its exit status, its end."""

import os
import sys
import traceback
from collections.abc import Mapping

import trio

from dunlinlug.manager.signals import SignalReceiver
from dunlinlug.platform.environment import EnvironmentConfigError, load_config
from dunlinlug.platform.manager import Manager

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_CONFIG_UNUSABLE = 2


def serve(environment: Mapping[str, str]) -> int:
    """Run a manager as the environment says, and return the process' exit status."""
    signals = SignalReceiver()
    signals.install_handlers()
    try:
        config = load_config(environment)
    except EnvironmentConfigError as error:
        print(f"dunlinlug: {error}", file=sys.stderr)
        return EXIT_CONFIG_UNUSABLE
    try:
        trio.run(Manager(config, environment).run, signals)
    except OSError as error:
        print(f"dunlinlug: cannot serve: {error}", file=sys.stderr)
        return EXIT_FAILED
    except Exception:  # the process ends with it: what it was goes to the log
        traceback.print_exc()
        return EXIT_FAILED
    return EXIT_STOPPED


def main() -> None:
    """Run the process to its end."""
    status = serve(os.environ)
    sys.stderr.flush()
    os._exit(status)  # nothing is stored: the interpreter's tidying up would only take time
