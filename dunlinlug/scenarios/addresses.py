"""Free loopback addresses for the processes of a scenario."""

import os
import socket
import time
from random import Random

from dunlinlug.scenarios.errors import ScenarioError

# Below the ports that the system gives to outgoing connections.
PORT_RANGE = range(12000, 30000)


class AddressAllocator:
    """Gives free addresses, none twice, on a loopback address of the scenario's own.

    Without that, on 127.0.0.1, another scenario or an outgoing connection could take the port of a
    process that is down for a moment.
    """

    def __init__(self) -> None:
        self.rng = Random(f"{os.getpid()} {time.time_ns()}")
        self.host = ".".join(["127", *(str(self.rng.randint(1, 254)) for _ in range(3))])
        self.free_ports = iter(self.rng.sample(PORT_RANGE, len(PORT_RANGE)))

    def allocate(self) -> str:
        """A free address, `HOST:PORT`. Raises ScenarioError if there is none left."""
        for port in self.free_ports:
            with socket.socket() as probe:
                try:
                    probe.bind((self.host, port))
                except OSError:
                    continue
            return f"{self.host}:{port}"
        raise ScenarioError("no free port")
