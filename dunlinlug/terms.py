"""What the manager's INI holds, a record for each part, and the module's `Trade` made from it."""

from pathlib import Path
from typing import Literal

import attrs

from dunlinlug import interface as face
from dunlinlug.config import (
    Address,
    Book,
    ConfigFault,
    Count,
    PerSecond,
    Seconds,
    Share,
    Words,
    read_book,
)


@attrs.frozen
class Desk:
    """[manager]: where it stands and what it opens."""

    listen: Address
    store: str
    zone: str = ""
    seed: Count = Count(1)
    hello_within: Seconds = Seconds(10.0)
    quiet_most: Seconds = Seconds(60.0)
    log: Literal["auto", "console", "json"] = "auto"
    usual_retry: Count = Count(1)
    standing: Count = Count(1)
    admits: Literal["share", "none"] = "share"
    try_aims: float = 0.0


@attrs.frozen
class Outlet:
    """[channel]: what the module reckons with, and the pace kept now (reloadable)."""

    lines_per_s: PerSecond
    message_lines: Count
    waiting_most: Count
    transit: Seconds
    transit_most: Seconds
    messages_most: Count = Count(0)
    messages_span: Seconds = Seconds(10.0)
    pace: PerSecond = PerSecond(0.0)  # 0: lines_per_s


@attrs.frozen
class Obligations:
    """[duties]: the figures of the five rules."""

    bare: Seconds
    drain_grace: Seconds
    warm_after: Seconds
    cold_share: Share
    fall_multiple: float
    fall_after: Seconds
    ask_every: Seconds = Seconds(10.0)


@attrs.frozen
class Source:
    """[roster]: whom to follow for the list, and how."""

    address: Address
    service: str
    mode: Literal["pushed", "asked"] = "pushed"
    wait: Seconds = Seconds(10.0)
    within: Seconds = Seconds(3.0)


@attrs.frozen
class Probing:
    """[probes]: whether the module may probe, and how a probe is made."""

    allowed: bool = False
    path: str = "/probe"
    within: Seconds = Seconds(0.4)
    at_once: Count = Count(16)


@attrs.frozen
class Hearing:
    """[reports]: how often proxies report, and how much of it the module is given."""

    cycle: Seconds = Seconds(0.5)
    lines_per_s: PerSecond = PerSecond(80.0)
    fields: Words = Words(())


@attrs.frozen
class Guarding:
    """[guard]: on refuses, watch only tells, off judges nothing; `remember` refusals are kept on disk."""

    mode: Literal["on", "watch", "off"] = "on"
    remember: Count = Count(500)


@attrs.frozen
class Operators:
    """[operators]: the local HTTP endpoint; open only with a token. No pin stands for more than `longest`."""

    token_file: str = ""
    listen: Address = Address(("127.0.0.1", 18001))
    longest: Seconds = Seconds(8 * 3600.0)
    quiet_most: Seconds = Seconds(10.0)


def check_lease(lease: float, beat: float, drift: float) -> None:
    """Raises ValueError."""
    if not 0 < 3 * beat <= lease or drift > 0.2:
        raise ValueError(
            "beat is to be at most a third of lease, so that one may be lost; drift at most 20%"
        )


@attrs.frozen
class Succession:
    """[succession]: this manager's part in a set that takes over from each other; without `member` it stands alone.
    Promises hold for `lease`; clocks go at most `drift` faster or slower than true time. `first` are the members that
    the set begins with, if not all."""

    member: str = ""
    key_file: str = ""
    lease: Seconds = Seconds(1.0)
    beat: Seconds = Seconds(0.2)
    drift: Share = Share(0.02)
    forgets: Seconds = Seconds(10.0)
    first: Words = Words(())

    def __attrs_post_init__(self) -> None:
        if self.member and not self.key_file:
            raise ValueError("member needs a key_file: members prove who they are")
        check_lease(self.lease, self.beat, self.drift)


@attrs.frozen
class Members:
    """[members]: managers that know each other; without `me` it knows of nobody. `beat` is from probe to probe; `binds`
    is where this one listens, if not where the others reach it. Without a key_file of its own it takes succession's."""

    me: str = ""
    key_file: str = ""
    beat: Seconds = Seconds(0.2)
    binds: Address = Address(("", 0))

    def __attrs_post_init__(self) -> None:
        if not 0.02 <= self.beat <= 10.0:
            raise ValueError("beat is to be from 20ms, below which timers are the noise, to 10s")


@attrs.frozen
class Owning:
    """[owner]: one owner at a time for work on behalf of the fleet, among the members. Times as in [succession].
    `exercise` pieces of no consequence are worked on each beat, for drills: their effects are logged."""

    on: bool = False
    lease: Seconds = Seconds(1.0)
    beat: Seconds = Seconds(0.2)
    drift: Share = Share(0.02)
    forgets: Seconds = Seconds(10.0)
    exercise: Count = Count(0)

    def __attrs_post_init__(self) -> None:
        check_lease(self.lease, self.beat, self.drift)


@attrs.frozen
class Tls:
    """[tls]: certificates for ADS and LRS; without it they are plain text, on loopback alone. Clients need one of the
    authority in `clients`, and its name is who they are."""

    cert: str = ""
    key: str = ""
    clients: str = ""

    def __attrs_post_init__(self) -> None:
        if len({bool(self.cert), bool(self.key), bool(self.clients)}) > 1:
            raise ValueError("cert, key and clients go together")


@attrs.frozen
class Member:
    """[member NAME]: where it serves proxies, and where the other members reach it: `knows`, UDP and TCP, for all
    that is between them. `peers` is for succession alone, where there is no [members]."""

    serves: Address
    peers: Address = Address(("", 0))
    knows: Address = Address(("", 0))


@attrs.frozen
class Ware:
    """[product NAME]."""

    sla: Seconds
    deadline: Seconds
    revenue: float
    repeats: Literal["idempotent", "referenced", "non-idempotent"]
    late_share: Share = Share(0.0)
    group: Literal["all", "zone", "cell"] = "all"
    window: Seconds = Seconds(0.0)

    def __attrs_post_init__(self) -> None:
        if self.deadline < self.sla:
            raise ValueError(
                "deadline is shorter than sla; it is the time after which a client gives up"
            )


SINGLE = {
    "manager": Desk,
    "channel": Outlet,
    "duties": Obligations,
    "roster": Source,
    "probes": Probing,
    "reports": Hearing,
    "guard": Guarding,
    "operators": Operators,
    "succession": Succession,
    "members": Members,
    "owner": Owning,
    "tls": Tls,
}
NAMED = {"product": Ware, "member": Member}
OPTIONAL = frozenset(
    {"probes", "reports", "guard", "operators", "succession", "members", "owner", "tls"}
)


def read(path: Path) -> Book:
    """The manager's file; raises ConfigFault."""
    book = read_book(path, SINGLE, NAMED, optional=OPTIONAL)
    if book.one(Operators).token_file and book.one(Guarding).mode == "off":
        raise ConfigFault(
            f"{path}:1: [operators] token_file: with [guard] mode = off no table from an operator's hand "
            "would be judged; take one of them out"
        )
    own = book.one(Succession).member
    if own and own not in book.many(Member):
        raise ConfigFault(
            f"{path}:1: [succession] member: no [member {own}] section says where it is"
        )
    unreached = [name for name, one in book.many(Member).items() if not one.peers[1]]
    if own and unreached and not book.one(Members).me:
        raise ConfigFault(
            f"{path}:1: [member {unreached[0]}] peers: without [members] the others reach it there alone"
        )
    me, places = book.one(Members).me, {name: one.knows for name, one in book.many(Member).items()}
    if me and me not in places:
        raise ConfigFault(f"{path}:1: [members] me: no [member {me}] section says where it is")
    lacks = [name for name, place in places.items() if not place[1]]
    if me and lacks:
        raise ConfigFault(
            f"{path}:1: [member {lacks[0]}] knows: [members] needs an address of its own for that"
        )
    if me and not member_key(book):
        raise ConfigFault(
            f"{path}:1: [members] key_file: members prove who they are; [succession] has none either"
        )
    if me and own and me != own:
        raise ConfigFault(
            f"{path}:1: [members] me = {me}, but [succession] member = {own}: one manager has one name"
        )
    if book.one(Owning).on and not me:
        raise ConfigFault(f"{path}:1: [owner] on: work is owned among members; it needs [members]")
    if not book.many(Ware):
        raise ConfigFault(f"{path}:1: no [product NAME] section: at least one product is needed")
    return book


def member_key(book: Book) -> str:
    """The file of the key by which managers know each other: one for all that is between them, unless told apart."""
    return book.one(Members).key_file or book.one(Succession).key_file


def trade(book: Book) -> face.Trade:
    """What the module is told at its start."""
    desk, outlet, duties = book.one(Desk), book.one(Outlet), book.one(Obligations)
    source, hearing = book.one(Source), book.one(Hearing)
    products = tuple(
        face.Product(
            name,
            ware.sla,
            ware.deadline,
            ware.revenue,
            ware.late_share,
            ware.repeats,
            ware.group,
            ware.window,
        )
        for name, ware in book.many(Ware).items()
    )
    channel = face.Channel(
        outlet.lines_per_s,
        float(outlet.message_lines),
        float(outlet.waiting_most),
        outlet.transit,
        outlet.transit_most,
        outlet.messages_most,
        outlet.messages_span,
    )
    return face.Trade(
        seed=desk.seed,
        zone=desk.zone,
        products=products,
        channel=channel,
        duties=face.Duties(
            duties.bare,
            duties.drain_grace,
            duties.ask_every,
            duties.warm_after,
            duties.cold_share,
            duties.fall_multiple,
            duties.fall_after,
        ),
        must_ask=source.mode == "asked",
        may_probe=book.one(Probing).allowed,
        report_fields=hearing.fields,
        reports_in="answers" if hearing.fields else "none",
        report_cycle=hearing.cycle,
        usual_retry=desk.usual_retry,
        admits=desk.admits,
        standing=desk.standing,
    )
