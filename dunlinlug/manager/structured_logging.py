"""Structured logs on standard error: readable text on a terminal, else one JSON object per line."""

import sys
from typing import Any

import structlog


def configure_logging(log_format: str) -> None:
    """Configure logging for the whole process; `log_format` is 'auto', 'console' or 'json'.

    'auto' means 'console' if standard error is a terminal, else 'json'.
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
    """Return a logger that adds the component of the process to each line as the field `part`."""
    return structlog.get_logger(part=component)
