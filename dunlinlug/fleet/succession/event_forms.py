"""The decision module's events as they travel to a successor: each class's wire names.

On the left stand names on the wire, which managers of former versions read; on the right attributes of the code. A
renamed attribute is renamed on the right alone. The forms of `Trusted` and `Pinned`, events which a module keeps, stand
with the module's state.
"""

from dunlinlug import interface as face
from dunlinlug.fleet.succession.plain import WireForm

FORMS = (
    WireForm(
        face.Worker,
        "Worker",
        {
            "id": "id",
            "zone": "zone",
            "kind": "kind",
            "cell": "cell",
            "state": "state",
            "weight": "weight",
            "since": "since",
        },
    ),
    WireForm(
        face.Listed,
        "Listed",
        {
            "form": "form",
            "workers": "workers",
        },
    ),
    WireForm(
        face.Rung,
        "Rung",
        {
            "token": "token",
        },
    ),
    WireForm(
        face.Probed,
        "Probed",
        {
            "worker": "worker",
            "ok": "ok",
            "result": "result",
            "took": "took",
            "load": "load",
        },
    ),
    WireForm(
        face.PeerSaid,
        "PeerSaid",
        {
            "peer": "peer",
            "payload": "payload",
        },
    ),
    WireForm(
        face.Joined,
        "Joined",
        {
            "proxy": "proxy",
            "zone": "zone",
            "txns_per_s": "txns_per_s",
            "first": "first",
        },
    ),
    WireForm(
        face.Left,
        "Left",
        {
            "proxy": "proxy",
        },
    ),
    WireForm(
        face.Met,
        "Met",
        {
            "zone": "zone",
            "worker": "worker",
            "tries": "tries",
            "voided": "voided",
            "took": "took",
            "span": "span",
            "load": "load",
            "own": "own",
        },
    ),
    WireForm(
        face.Asked,
        "Asked",
        {
            "proxy": "proxy",
            "product": "product",
            "txns": "txns",
            "voided": "voided",
            "span": "span",
            "slice": "slice",
        },
    ),
    WireForm(
        face.Given,
        "Given",
        {
            "slice": "slice",
            "given": "given",
        },
    ),
    WireForm(
        face.Stored,
        "Stored",
        {
            "slice": "slice",
            "worker": "worker",
            "weight": "weight",
        },
    ),
    WireForm(
        face.Answered,
        "Answered",
        {
            "proxy": "proxy",
            "mark": "mark",
            "took": "took",
        },
    ),
    WireForm(
        face.Share,
        "Share",
        {
            "tbl": "tbl",
            "worker": "worker",
            "weight": "weight",
        },
    ),
    WireForm(
        face.Clear,
        "Clear",
        {
            "tbl": "tbl",
        },
    ),
    WireForm(
        face.Bind,
        "Bind",
        {
            "proxy": "proxy",
            "products": "products",
            "tbl": "tbl",
        },
    ),
    WireForm(
        face.Withdraw,
        "Withdraw",
        {
            "worker": "worker",
            "out": "out",
        },
    ),
    WireForm(
        face.Admit,
        "Admit",
        {
            "tbl": "tbl",
            "product": "product",
            "retry": "retry",
            "share": "share",
        },
    ),
    WireForm(
        face.Refused,
        "Refused",
        {
            "order": "order",
            "why": "why",
        },
    ),
    WireForm(
        face.Laden,
        "Laden",
        {
            "manager": "manager",
            "over": "over",
            "proxies": "proxies",
            "txns_per_s": "txns_per_s",
        },
    ),
)
