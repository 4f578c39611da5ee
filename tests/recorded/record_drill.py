"""Records short sessions of the simulator's adapter: its lines in and out, byte for byte.

    python -m tests.recorded.record_drill

The other side of a session is a plain simulator, which acknowledges what it is asked to, completes
health checks and fires timers when they are due.
"""

import io
import json
from random import Random
from typing import Any

from dunlinlug.simulator import codec
from dunlinlug.simulator.host import serve
from tests.recorded.plain import DATA, Plain, event, order, write_json

SESSIONS = {"session": 40, "session-zones": 25}  # by name, the batches of each
EVENTS, ORDERS, FAULTS = "drill/events.json", "drill/orders.json", "drill/faults.json"
BATCH_INTERVAL = 250_000  # microseconds from one batch to the next
ZONES = ("north", "south")
MANAGERS = ("m1", "m2")


def info(**specifics: Any) -> Plain:
    """The settings that a manager receives at its start."""
    return {
        "dcs": list(ZONES),
        "zone": "north",
        "membershipMode": "automatic",
        "caps": {"probes": True},
        "lanes": [
            {
                "aimUs": 800000,
                "effect": "pure",
                "hardLimitUs": 2000000,
                "name": "read",
                "points": 1.0,
                "lateShare": 0.25,
            },
            {
                "aimUs": 800000,
                "effect": "token",
                "hardLimitUs": 2000000,
                "name": "book",
                "points": 5.0,
                "windowUs": 1200000,
            },
            {
                "aimUs": 500000,
                "effect": "side_effect",
                "hardLimitUs": 900000,
                "name": "pay",
                "points": 9.5,
                "group": "zone",
            },
        ],
        "reporting": {"fields": ["depth", "mean_ms"], "how": "answers"},
        "rules": {
            "askEveryUs": 10000000,
            "coldUs": 6000000,
            "drainGraceUs": 3000000,
            "fallUs": 2000000,
            "startCapacity": 0.2,
            "tipMultiple": 3.0,
        },
        "specifics": {
            "admit": "ratio",
            "egressPerS": 1300.0,
            "emptyForUs": 4700000,
            "pendingMax": 2000.0,
            "perMessage": 4.0,
            "transitUs": 252000,
            "lateMostUs": 600000,
            "messagesMost": 30,
            "reloadSpanUs": 10000000,
            "initialSet": 3,
            "usualHow": 1,
            "cycleUs": 500000,
            "keyRanges": 0,
            **specifics,
        },
    }


def _row(n: int, state: str = "active", since: int | None = None) -> Plain:
    return {
        "worker": f"10.0.0.{n}:80",
        "locality": ZONES[n % 2],
        "classOfHost": ("small", "large")[n % 3 == 0],
        "bay": n % 4,
        "state": state,
        "weight": (1, 2.5, None)[n % 3],
        "sinceUs": since,
    }


class Simulator:
    """The other side: draws events, and answers earlier decisions of the adapter."""

    def __init__(self, name: str) -> None:
        self.random, self.now, self.batch = Random(name), 0, 0
        self.zones = name.endswith("zones")
        self.due: list[tuple[int, int, Plain]] = []  # time, sequence number, event
        self.count = 0
        self.proxies = dict.fromkeys(MANAGERS, 0)

    def schedule(self, delay: int, body: Plain) -> None:
        self.count += 1
        self.due.append((self.now + delay, self.count, body))

    def next_events(self) -> list[Plain]:
        due_events = sorted(
            (row for row in self.due if row[0] <= self.now), key=lambda row: (row[0], row[1])
        )
        self.due = [row for row in self.due if row[0] > self.now]
        drawn_events = [body for manager in MANAGERS for body in self._draw_events(manager)]
        return [*drawn_events, *(body for _, _, body in due_events)]

    def _draw_events(self, manager: str) -> list[Plain]:
        n = self.batch
        if n == 0:
            return self._start_events(manager)
        events: list[Plain] = []
        if n in (1, 2, 9):
            events.append(self._joined_event(manager))
        if n == 14:
            events.append(
                {"verb": "Discovery", "form": "update", "membersList": [_row(2, "leaving")]}
            )
        if n == 18:
            rows = [_row(2, "left"), _row(9, since=self.now - 50_000)]
            events.append({"verb": "Discovery", "form": "update", "membersList": rows})
        if n == 22:
            events.append({"verb": "Discovery", "form": "unavailable"})
        if n == 24:
            rows = [_row(k) for k in (0, 1, 3, 4, 9)]
            events.append({"verb": "Discovery", "form": "replace", "membersList": rows})
        if n == 28:
            events.append({"verb": "Left", "proxy": 1})
        if n == 30 and manager == MANAGERS[1]:
            events.append({"verb": "Detach"})
        if n % 2 == 0:
            events += self._reports()
        return [{**body, "manager": manager} for body in events]

    def _start_events(self, manager: str) -> list[Plain]:
        extra = {"homeOnly": [False, True, False]} if self.zones else {}
        start = {"verb": "NewInstance", "nonce64": 90210, "info": info(**extra)}
        rows = [_row(n) for n in range(6)]
        listed = {"verb": "Discovery", "form": "restored", "gen": 1, "membersList": rows}
        return [{**start, "manager": manager}, {**listed, "manager": manager}]

    def _joined_event(self, manager: str) -> Plain:
        proxy = self.proxies[manager]
        self.proxies[manager] += 1
        return {
            "verb": "Joined",
            "proxy": proxy,
            "locality": ZONES[proxy % 2],
            "weight": 20.5,
            "yes": proxy != 2,
        }

    def _reports(self) -> list[Plain]:
        random = self.random
        traffic = [
            {
                "verb": "Traffic",
                "proxy": proxy,
                "service": service,
                "count": random.randrange(30),
                "errors": random.randrange(3),
                "windowUs": 500000,
            }
            for proxy in (0, 1)
            for service in ("read", "book", "pay")
        ]
        endpoint_reports = [
            {
                "verb": "TrafficReport",
                "locality": random.choice(ZONES),
                "worker": f"10.0.0.{n}:80",
                "count": 20,
                "errors": 18 if n == 3 and self.batch > 10 else random.randrange(2),
                "costTimeUs": random.randrange(10_000, 900_000),
                "windowUs": 500000,
                "usage": [random.randrange(9), random.randrange(10, 500)],
            }
            for n in range(6)
        ]
        return [*traffic, *endpoint_reports]

    def handle_decisions(self, decisions: list[Plain]) -> None:
        for decision in decisions:
            manager = decision["manager"]
            match decision["verb"]:
                case "Seal":
                    for proxy in range(self.proxies[manager]):
                        delay = 200_000 + self.random.randrange(200_000)
                        receipt = {"verb": "Receipt", "proxy": proxy, "gen": decision["gen"]}
                        self.schedule(delay, {**receipt, "costTimeUs": delay, "manager": manager})
                case "Arm":
                    bell = {"verb": "Bell", "token": decision["token"], "manager": manager}
                    self.schedule(decision["delayUs"], bell)
                case "Poll":
                    result = {"verb": "ProbeResult", "worker": decision["worker"], "rc": "ok"}
                    rest = {"costTimeUs": 8000, "usage": [1, 40.5], "manager": manager}
                    self.schedule(BATCH_INTERVAL, {**result, **rest})


def _play(name: str, batches: int) -> tuple[bytes, bytes]:
    """Return all lines in and out; each batch depends on the adapter's earlier decisions."""
    simulator, lines_in, lines_out = Simulator(name), bytearray(), bytearray()
    for number in range(batches):
        simulator.batch, simulator.now = number, (number + 1) * BATCH_INTERVAL
        batch = {"nowUs": simulator.now, "n": number, "happened": simulator.next_events()}
        lines_in += json.dumps(batch, separators=(",", ":")).encode() + b"\n"
        lines_out = bytearray(session(bytes(lines_in)))
        simulator.handle_decisions(json.loads(lines_out.splitlines()[-1])["decisions"])
    return bytes(lines_in), bytes(lines_out)


def session(lines: bytes) -> bytes:
    """Return what the adapter writes in reply to these lines."""
    output = io.BytesIO()
    serve(io.BytesIO(lines), output)
    return output.getvalue()


EVENT_BODIES: list[Plain] = [
    {
        "verb": "Discovery",
        "form": "update",
        "membersList": [_row(0), _row(1, "leaving", 5_250_000)],
    },
    {"verb": "Discovery", "form": "replace", "membersList": [_row(2, "left"), _row(5)]},
    {"verb": "Discovery", "form": "restored"},
    {"verb": "Discovery", "form": "unavailable", "membersList": None},
    {"verb": "Bell", "token": 17},
    {"verb": "Heard", "originPeer": 2, "payload": "x"},
    {"verb": "Heard", "originPeer": 2},
    {"verb": "Joined", "proxy": 3, "locality": "north", "weight": 7, "yes": 1},
    {"verb": "Joined", "proxy": 3, "locality": "north", "yes": False},
    {"verb": "Left", "proxy": 3},
    {
        "verb": "Traffic",
        "proxy": 3,
        "service": "read",
        "count": 9,
        "errors": 1,
        "windowUs": 500000,
    },
    {"verb": "Heat", "setId": 5, "service": "read", "count": 9, "errors": 1, "windowUs": 500000},
    {"verb": "Handed", "setId": 5, "yes": True},
    {"verb": "Recorded", "setId": 5, "worker": "10.0.0.1:80", "weight": 2},
    {"verb": "Receipt", "proxy": 3, "gen": 8, "costTimeUs": 310400},
    {"verb": "Receipt", "proxy": 3, "gen": 8},
    {
        "verb": "ProbeResult",
        "worker": "10.0.0.1:80",
        "rc": "ok",
        "costTimeUs": 1500,
        "usage": [3, 41.7, 2, 0.61, 9.5, 0.5, 7],
    },
    {"verb": "ProbeResult", "worker": "10.0.0.1:80", "rc": "timeout"},
    {
        "verb": "TrafficReport",
        "locality": "north",
        "worker": "10.0.0.1:80",
        "count": 212,
        "errors": 3,
        "costTimeUs": 41700,
        "windowUs": 1000000,
        "usage": [7, 41.7],
    },
    {
        "verb": "TrafficReport",
        "locality": "north",
        "worker": "10.0.0.1:80",
        "count": 0,
        "errors": 0,
        "costTimeUs": None,
        "windowUs": 1000000,
    },
]
ALL_LOAD_FIELDS = ["depth", "mean_ms", "concurrent", "load_share", "tps", "err_ps", "temperature"]

ORDER_BODIES: list[Plain] = [
    {"verb": "Upsert", "setId": 4, "worker": "10.0.0.1:80", "weight": 0.125},
    {"verb": "Empty", "setId": 4},
    {"verb": "AttachTable", "proxy": 3, "lanes": [0, 2], "setId": 4},
    {"verb": "Bench", "worker": "10.0.0.1:80", "yes": True},
    {"verb": "SetLevel", "setId": 4, "lane": 2, "how": 3, "allowance": 0.75},
    {"verb": "Seal", "gen": 9, "yes": False},
    {"verb": "Watch", "yes": True},
    {"verb": "Pull"},
    {"verb": "Poll", "worker": "10.0.0.1:80"},
    {"verb": "Arm", "delay_s": 0.2500004, "token": 6},
    {"verb": "Arm", "delay_s": -1.0, "token": 6},
    {"verb": "Announce", "target": None, "payload": "p"},
    {"verb": "JournalLine", "text": "w\u00e9"},
]


def _event_line(**body: Any) -> str:
    return json.dumps({"nowUs": 1, "happened": [{"manager": "m1", **body}]})


def _started_event_line(body: Plain) -> str:
    start = {"verb": "NewInstance", "manager": "m1", "nonce64": 5, "info": info()}
    return json.dumps({"nowUs": 1, "happened": [start, {"manager": "m1", **body}]})


def _info_without(name: str) -> Plain:
    settings = info()
    del settings["specifics"][name]
    return settings


FAULT_LINES = [
    "[]",
    "7",
    '{"happened": []}',
    '{"nowUs": true, "happened": []}',
    '{"nowUs": 1.5, "happened": []}',
    '{"nowUs": 1}',
    '{"nowUs": 1, "happened": {}}',
    '{"nowUs": 1, "happened": [3]}',
    '{"nowUs": 1, "happened": [{"manager": "m1"}]}',
    '{"nowUs": 1, "happened": [{"verb": "Bell", "token": 1}]}',
    '{"nowUs": 1, "n": "x", "happened": []}',
    '{"nowUs": 1, "happened": [{"verb": "Unheard"}]}',
    _event_line(verb="Bell", token=1),
    _event_line(verb="NewInstance", nonce64=5),
    _event_line(verb="NewInstance", nonce64=5, info={}),
    _event_line(verb="NewInstance", nonce64=5, info=_info_without("egressPerS")),
    _event_line(verb="NewInstance", nonce64=5, info=info(egressPerS="x")),
    _event_line(verb="NewInstance", nonce64=5, info=info(egressPerS=0)),
    _event_line(verb="NewInstance", nonce64=5, info=info(perMessage=-1)),
    _event_line(verb="NewInstance", nonce64=5, info={**info(), "lanes": []}),
    _event_line(
        verb="NewInstance", nonce64=5, info={**info(), "lanes": [{"name": "a", "effect": "b"}]}
    ),
    _started_event_line({"verb": "Bell"}),
    _started_event_line({"verb": "Discovery", "form": "update", "membersList": [{"worker": "w"}]}),
    _started_event_line({"verb": "Discovery", "form": "sometimes"}),
    _started_event_line(
        {"verb": "Discovery", "form": "update", "membersList": [_row(1, "resting")]}
    ),
    _started_event_line({"verb": "Discovery", "form": "update", "membersList": 5}),
    _started_event_line(
        {"verb": "Joined", "proxy": 1, "locality": "north", "weight": "x", "yes": True}
    ),
    _started_event_line({"verb": "Receipt", "proxy": 1, "gen": 2, "costTimeUs": "x"}),
    _started_event_line({"verb": "TrafficReport", "locality": "north"}),
]


def event_of(body: Plain) -> Plain:
    return event(codec.read_event(body["verb"], body, tuple(ALL_LOAD_FIELDS)))


def order_line(body: Plain) -> Plain:
    return codec.write_order("m1", order(body))


def fault_of(line: str) -> str:
    """Return the error with which the adapter stops at a line; empty if it accepts the line."""
    try:
        session(line.encode() + b"\n")
    except codec.WireError as error:
        return str(error)
    return ""


def main() -> None:
    for name, batches in SESSIONS.items():
        lines_in, lines_out = _play(name, batches)
        (DATA / "drill").mkdir(parents=True, exist_ok=True)
        (DATA / "drill" / f"{name}.in").write_bytes(lines_in)
        (DATA / "drill" / f"{name}.out").write_bytes(lines_out)
    write_json(EVENTS, [{"line": body, "event": event_of(body)} for body in EVENT_BODIES])
    write_json(ORDERS, [{"order": body, "line": order_line(body)} for body in ORDER_BODIES])
    write_json(FAULTS, [{"line": line, "said": fault_of(line)} for line in FAULT_LINES])


if __name__ == "__main__":
    main()
