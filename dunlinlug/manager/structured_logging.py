"""Structured logs on standard error: for people on a terminal, else one JSON object a line."""

import sys
from typing import Any

import structlog


def configure_logging(log_format: str) -> None:
    """Set up the whole process' logs; `log_format` is 'auto', 'console' or 'json'.

    With 'auto', lines are made for people if standard error is a terminal.
    """
    use_console = log_format == "console" or (log_format == "auto" and sys.stderr.isatty())
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if use_console:
        renderer = structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def get_logger(component: str) -> Any:
    """Return a logger whose lines name the component of the process in the field `part`."""
    return structlog.get_logger(part=component)
