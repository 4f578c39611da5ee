"""A command group that imports its commands on first use.

A scenario starts many stand-in processes. If each imported all modules of a manager, it would take
seconds to start on a loaded machine.
"""

import importlib
from collections.abc import Mapping
from typing import Any

import click


class LazyGroup(click.Group):
    """A click group that looks up commands by name in modules that are not imported yet."""

    def __init__(
        self,
        *args: Any,  # arguments of click's decorator
        lazy_commands: Mapping[str, str] | None = None,
        **kwargs: Any,
    ) -> None:
        """Create a group with the commands of `lazy_commands`.

        It maps a command's name to its import path, written as `package.module:object`.
        """
        super().__init__(*args, **kwargs)
        self.lazy_commands = lazy_commands or {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, sorted."""
        return sorted({*super().list_commands(ctx), *self.lazy_commands})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of that name, imported on first use; None if there is none."""
        if cmd_name not in self.lazy_commands:
            return super().get_command(ctx, cmd_name)
        module_name, object_name = self.lazy_commands[cmd_name].split(":")
        command: click.Command = getattr(importlib.import_module(module_name), object_name)
        return command
