"""gRPC's status codes."""

from enum import IntEnum


class Status(IntEnum):
    """The gRPC status codes in use."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    UNAUTHENTICATED = 16
