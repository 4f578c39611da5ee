"""Free loopback addresses for the processes of a scenario."""

import os
import socket
import time
from random import Random

from dunlinlug.scenarios.errors import ScenarioError

# Below the ephemeral ports, which the system assigns to outgoing connections.
PORT_RANGE = range(12000, 30000)


class AddressAllocator:
    """Allocates free addresses, each once, on a random loopback address for each scenario.

    On 127.0.0.1, another scenario or an outgoing connection could take the port of a process that
    is being restarted.
    """

    def __init__(self) -> None:
        self.rng = Random(f"{os.getpid()} {time.time_ns()}")
        self.host = ".".join(["127", *(str(self.rng.randint(1, 254)) for _ in range(3))])
        self.free_ports = iter(self.rng.sample(PORT_RANGE, len(PORT_RANGE)))

    def allocate(self) -> str:
        """Return a free address, `HOST:PORT`. Raises ScenarioError if none is left."""
        for port in self.free_ports:
            with socket.socket() as probe:
                try:
                    probe.bind((self.host, port))
                except OSError:
                    continue
            return f"{self.host}:{port}"
        raise ScenarioError("no free port left")
