"""A group whose commands are imported when they are used.

Without this, each stand-in of a scenario, of which there are many, would import all that a manager
needs, and take seconds to start on a loaded machine.
"""

import importlib
from collections.abc import Mapping
from typing import Any

import click


class LazyGroup(click.Group):
    """A click group that finds its commands by name in modules that are not imported yet."""

    def __init__(
        self,
        *args: Any,  # what click passes on from its decorator
        lazy_commands: Mapping[str, str] | None = None,
        **kwargs: Any,
    ) -> None:
        """Have the commands of `lazy_commands`: by name, the module and the object in it.

        They are written as `package.module:object`.
        """
        super().__init__(*args, **kwargs)
        self.lazy_commands = lazy_commands or {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, in the order of the alphabet."""
        return sorted({*super().list_commands(ctx), *self.lazy_commands})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of that name, imported if it has not been yet; None if there is none."""
        if cmd_name not in self.lazy_commands:
            return super().get_command(ctx, cmd_name)
        module_name, object_name = self.lazy_commands[cmd_name].split(":")
        command: click.Command = getattr(importlib.import_module(module_name), object_name)
        return command
