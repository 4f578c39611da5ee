"""What passes between the decision module and its host: events in, orders out, and what is read at start.

Times are float seconds on the host's clock, ids are as the wire gives them, zones and kinds are names.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Product:
    """A kind of txn. `repeats` is 'idempotent', 'referenced' or 'non-idempotent'."""

    name: str
    sla: float
    deadline: float
    revenue: float
    late_share: float = 0.0
    repeats: str = "non-idempotent"
    group: str = "all"
    window: float = 0.0
    home_only: bool = False


@dataclass(frozen=True)
class Channel:
    """What a manager's channel to its proxies carries, and what may wait in it."""

    lines_per_s: float
    message_lines: float
    waiting_most: float
    transit: float
    transit_most: float
    messages_most: int = 0
    messages_span: float = 10.0


@dataclass(frozen=True)
class Duties:
    """The figures of the rules that a manager keeps."""

    bare: float
    drain_grace: float
    ask_every: float
    warm_after: float
    cold_share: float
    fall_multiple: float
    fall_after: float


@dataclass(frozen=True)
class Trade:
    """What a manager is told when it starts."""

    seed: int
    zone: str
    products: tuple[Product, ...]
    channel: Channel
    duties: Duties
    must_ask: bool = False
    may_probe: bool = False
    report_fields: tuple[str, ...] = ()
    reports_in: str = "none"
    report_cycle: float = 1.0
    usual_retry: int = 1
    admits: str = "none"
    slices: int = 0
    standing: int = (
        1  # workers that a proxy's table holds at its start, for which the channel has room
    )


@dataclass(frozen=True)
class Worker:
    """One entry of the list. `state` is 'ready', 'draining' or 'gone'; `since` is None if long ago."""

    id: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float | None
    since: float | None


@dataclass(frozen=True)
class Listed:
    """News of the list. `form` is 'changes', 'whole', 'kept' (as held before a restart) or 'failed'."""

    form: str
    workers: tuple[Worker, ...] = ()


@dataclass(frozen=True)
class Rung:
    """A timer has come due."""

    token: int


@dataclass(frozen=True)
class Probed:
    worker: str
    ok: bool
    result: str
    took: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerSaid:
    peer: int
    payload: str


@dataclass(frozen=True)
class Joined:
    proxy: int
    zone: str
    txns_per_s: float
    first: bool


@dataclass(frozen=True)
class Left:
    proxy: int


@dataclass(frozen=True)
class Met:
    """What the joined proxies of a zone met at a worker over a span; if not `own`, another manager's proxies did."""

    zone: str
    worker: str
    tries: float
    voided: float
    took: float
    span: float
    load: dict[str, float] = field(default_factory=dict)
    own: bool = True


@dataclass(frozen=True)
class Trusted:
    """What we may do, as managers may be cut off from each other: how much of the ready weight our own evidence may
    take out; changes of shares that the list does not ask for (`begin`); the next step of a ramp (`raises`)."""

    share: float
    begin: bool = True
    raises: bool = True


@dataclass(frozen=True)
class Laden:
    """A manager, ours or another, has come to be `over` its means (channel or processor), or is so no more."""

    manager: str
    over: bool
    proxies: int
    txns_per_s: float


@dataclass(frozen=True)
class Asked:
    """What came to a proxy (or, with slices, for a slice) of a product over a span."""

    proxy: int | None
    product: str
    txns: int
    voided: int
    span: float
    slice: int | None = None


@dataclass(frozen=True)
class Given:
    slice: int
    given: bool


@dataclass(frozen=True)
class Stored:
    slice: int
    worker: str
    weight: float


@dataclass(frozen=True)
class Answered:
    """A proxy has applied the message that bore this mark, and all before it."""

    proxy: int
    mark: int
    took: float


@dataclass(frozen=True)
class Share:
    """Set one line of a table; weight 0 takes it away."""

    tbl: int
    worker: str
    weight: float


@dataclass(frozen=True)
class Clear:
    tbl: int


@dataclass(frozen=True)
class Bind:
    """Send a proxy a whole table for some products, told by their places in `Trade.products`."""

    proxy: int
    products: tuple[int, ...]
    tbl: int


@dataclass(frozen=True)
class Withdraw:
    worker: str
    out: bool


@dataclass(frozen=True)
class Admit:
    """How much of a product a table lets in, and when its proxies try again (0 never to 3 twice)."""

    tbl: int
    product: int
    retry: int
    share: float


@dataclass(frozen=True)
class Mark:
    number: int
    everyone: bool


@dataclass(frozen=True)
class Follow:
    """Ask for the list's changes from now on."""

    on: bool = True


@dataclass(frozen=True)
class Fetch:
    """Ask for the whole list once."""


@dataclass(frozen=True)
class Probe:
    worker: str


@dataclass(frozen=True)
class Wake:
    after: float
    token: int


@dataclass(frozen=True)
class TellPeers:
    peer: int | None
    payload: str


@dataclass(frozen=True)
class Note:
    text: str


@dataclass(frozen=True)
class Refused:
    """An order was judged and not carried out; all else of its reply was, and its mark is answered all the same."""

    order: "Share | Clear | Bind | Withdraw | Admit"
    why: str


@dataclass(frozen=True)
class Pinned:
    """An operator's word for one product: weights by worker in place of the listed ones (0: not to be used; None:
    as listed), and whether workers not named keep theirs. No weights with `others` ends it."""

    product: int
    weights: tuple[tuple[str, float | None], ...] = ()
    others: bool = True


Event = (
    Listed
    | Rung
    | Probed
    | PeerSaid
    | Joined
    | Left
    | Met
    | Asked
    | Given
    | Stored
    | Answered
    | Refused
    | Pinned
    | Trusted
    | Laden
)
Order = (
    Share
    | Clear
    | Bind
    | Withdraw
    | Admit
    | Mark
    | Follow
    | Fetch
    | Probe
    | Wake
    | TellPeers
    | Note
)
