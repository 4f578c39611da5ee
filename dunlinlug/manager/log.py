"""Structured logs on standard error: for people on a terminal, else one JSON object a line."""

import sys
from typing import Any

import structlog


def set_up(form: str) -> None:
    """`form` is 'auto', 'console' or 'json'."""
    console = form == "console" or form == "auto" and sys.stderr.isatty()
    shown: Any = structlog.dev.ConsoleRenderer() if console else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            shown,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def logger(part: str) -> Any:
    return structlog.get_logger(part=part)
