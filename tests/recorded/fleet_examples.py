"""One example or more of each message that managers send each other, by the name under which it is recorded."""

from dunlinlug import interface as face
from dunlinlug.fleet.members import words as members
from dunlinlug.fleet.owner import book
from dunlinlug.fleet.owner import words as owner
from dunlinlug.fleet.succession import facts
from dunlinlug.fleet.succession import words as succession

OWN = members.Told(name="m0", life=(7, 2), state=members.ALIVE, place=("127.0.0.1", 7001), by="m0")
OTHER = members.Told(
    name="m1", life=(9, 0), state=members.SUSPECTED, place=("127.0.0.2", 7002), by="m2"
)
GOSSIP = (
    OTHER,
    members.Bar(name="m3", count=4, on=True),
    members.Row(name="m0", version=(7, 3), unanswered=("m1",), unheard=("m2", "m3")),
    members.Row(name="m2", version=(8, 1)),
    members.Extra(key="burden/m0", body=b"\x00\x01\xff"),
)

MEMBERS: dict[str, members.Message] = {
    "Ping": members.Ping(own=OWN, to="m1", seq=5, digest=b"12345678", gossip=GOSSIP),
    "Ping, no gossip": members.Ping(own=OWN, to="m1", seq=6, digest=b""),
    "Ack": members.Ack(
        own=OTHER, to="m0", seq=5, of="m1", lived=9, digest=b"abcdefgh", gossip=GOSSIP[:1]
    ),
    "Ask": members.Ask(own=OWN, to="m2", seq=7, about=OTHER, gossip=GOSSIP[1:2]),
    "Nack": members.Nack(own=OTHER, to="m0", seq=7),
    "News": members.News(own=OWN, to="m2", gossip=GOSSIP),
    "Whole": members.Whole(own=OWN, to="m2", back=True, items=GOSSIP),
}

ROLL = succession.Roll(version=3, members=("m0", "m1", "m2"))
SUCCESSION: dict[str, succession.Message] = {
    "Ask": succession.Ask(term=4, sender="m0", position=(3, 17), probe=True),
    "Ask, handed": succession.Ask(term=5, sender="m1", position=(4, 18), probe=False, handed=True),
    "Answer": succession.Answer(
        term=5, sender="m2", asked=4, probe=True, granted=False, blank=True
    ),
    "Beat": succession.Beat(
        term=5, sender="m1", sent=12.5, roll=ROLL, base=(4, 18), entries=(b"one", b"\xfftwo")
    ),
    "Beat, empty": succession.Beat(
        term=5, sender="m1", sent=12.75, roll=ROLL, base=(5, 20), entries=()
    ),
    "Whole": succession.Whole(
        term=5, sender="m1", sent=13.0, roll=ROLL, position=(5, 21), body=b"all that stands"
    ),
    "Heard": succession.Heard(term=5, sender="m2", sent=13.0, position=(5, 21), follows=True),
    "Pass": succession.Pass(term=5, sender="m1"),
}

OWNER: dict[str, owner.Message] = {
    "Renew": owner.Renew(
        term=6, sender="m0", sent=1.5, born=99, behind=((3, 77), (4, 78)), away=((5, 79),)
    ),
    "Renew, short": owner.Renew(term=6, sender="m0", sent=2.5, born=99),
    "Granted": owner.Granted(
        term=6, sender="m1", sent=1.5, left=2.25, upto=(6, 3), committed=(6, 2), born=99
    ),
    "Note": owner.Note(
        term=6, sender="m0", items=(("pin/read", 25769803779, b"{}"), ("x", 1, b""))
    ),
    "Effect": owner.Effect(
        term=6, sender="m0", piece="ramp/w1", number=25769803779, count=8, body=b"\x01go"
    ),
    "Outcome": owner.Outcome(
        term=6,
        sender="m2",
        piece="ramp/w1",
        number=25769803779,
        count=8,
        done=False,
        seen=25769803780,
        owner="m1",
    ),
    "Want": owner.Want(term=6, sender="m2", piece="ramp/w2", body=b"please"),
}

LOG: dict[str, book.Said] = {
    "Begin": book.Begin(),
    "Deal": book.Deal(owners=((0, "m0"), (1, "m1"), (2, "")), why="it failed"),
    "Close": book.Close(to=((1, "m2"),)),
    "Lived": book.Lived(member="m0", born=99),
    "Noted": book.Noted(items=(("pin/read", 25769803779, b"{}"), ("ramp/w1", 3, b""))),
}

WORKER = face.Worker(
    id="10.0.0.1:80", zone="north", kind="big", cell=3, state="ready", weight=2.0, since=None
)
REFUSABLE: tuple[face.Share | face.Clear | face.Bind | face.Withdraw | face.Admit, ...] = (
    face.Share(tbl=4, worker="10.0.0.1:80", weight=0.5),
    face.Clear(tbl=5),
    face.Bind(proxy=6, products=(0, 2), tbl=4),
    face.Withdraw(worker="10.0.0.2:80", out=True),
    face.Admit(tbl=4, product=1, retry=3, share=0.75),
)
EVENTS: tuple[face.Event, ...] = (
    face.Listed(
        form="changes",
        workers=(WORKER, face.Worker("10.0.0.2:80", "south", "", 0, "gone", None, 12.5)),
    ),
    face.Rung(token=9),
    face.Probed(worker="10.0.0.1:80", ok=True, result="ok", took=0.25, load={"queue": 2.0}),
    face.PeerSaid(peer=2, payload="words"),
    face.Joined(proxy=6, zone="north", txns_per_s=5.0, first=True),
    face.Left(proxy=7),
    face.Met(
        zone="north",
        worker="10.0.0.1:80",
        tries=9.0,
        voided=1.0,
        took=0.25,
        span=0.5,
        load={"queue": 1.0},
        own=False,
    ),
    face.Asked(proxy=6, product="read", txns=20, voided=1, span=0.5, slice=None),
    face.Asked(proxy=None, product="read", txns=21, voided=2, span=0.75, slice=3),
    face.Given(slice=3, given=True),
    face.Stored(slice=3, worker="10.0.0.1:80", weight=0.125),
    face.Answered(proxy=6, mark=12, took=0.1),
    *(face.Refused(order=order, why="over the bound") for order in REFUSABLE),
    face.Pinned(product=1, weights=(("10.0.0.1:80", 0.0), ("10.0.0.2:80", None)), others=False),
    face.Trusted(share=0.25, begin=False, raises=True),
    face.Laden(manager="m1", over=True, proxies=40, txns_per_s=200.5),
)
BATCHES: dict[str, facts.Batch] = {
    "every event": facts.Batch(
        now=100.25,
        events=list(EVENTS),
        left_out=[1, 4],
        numbers={"proxy-6": 6},
        pins=[{"product": "read", "weights": {"10.0.0.1:80": 0.0}, "others": False}],
    ),
    "empty": facts.Batch(now=100.5, events=[], left_out=[], numbers={}),
}
