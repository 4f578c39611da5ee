"""Runs the platform's manager as a process: reads its settings and sets the exit status."""

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
    """Run a manager with the settings in the environment, and return the process's exit status."""
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
    except Exception:  # the process ends with any other error, and logs it
        traceback.print_exc()
        return EXIT_FAILED
    return EXIT_STOPPED


def main() -> None:
    """Run the manager and exit with its status."""
    status = serve(os.environ)
    sys.stderr.flush()
    os._exit(status)  # skips the interpreter's cleanup, as there is no state to save
