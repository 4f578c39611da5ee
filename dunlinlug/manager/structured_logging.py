"""Structured logs on standard error: for people on a terminal, else one JSON object a line."""

import sys
from typing import Any

import structlog


def configure_logging(log_format: str) -> None:
    """`form` is 'auto', 'console' or 'json'."""
    use_console = log_format == "console" or log_format == "auto" and sys.stderr.isatty()
    renderer: Any = (
        structlog.dev.ConsoleRenderer() if use_console else structlog.processors.JSONRenderer()
    )
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
    return structlog.get_logger(part=component)
