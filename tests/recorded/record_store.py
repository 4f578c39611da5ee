"""Record what a manager's store holds: keys and values as bytes, and the store's folder itself.

python -m tests.recorded.record_store
"""

import shutil
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import lmdb
import msgspec

from dunlinlug.fleet.ownership.service import VOTE_STORE_NAME as OWNERS_LOG
from dunlinlug.guard import OrderValidator, Rejection
from dunlinlug.manager.order_validation import RecordingOrderValidation
from dunlinlug.storage.records import StoredOverride
from dunlinlug.storage.store import MAP_SIZE_BYTES, Store, read_rejections
from tests.decision.rules_model import manager_settings
from tests.recorded import plain
from tests.recorded.plain import DATA, Plain, bytes_of, text_of, write_json

CASES, FOLDER = "store/cases.json", "store/folder"
WALL = 1_700_000_000.25  # seconds: the wall clock as recorded

VALUES: Plain = {
    "lives": 3,
    "list": '[{"Node": {"Node": "n", "Datacenter": "north"}, "Service": {"Address": "127.0.0.1"}}]',
    "succession": [7, "b", 3, ["a", "b", "c"]],
    "owners": [12, "", 1, ["a"]],
    "pins": [
        {
            "product": "press-book",
            "weights": {"127.0.0.1:7000": 2.5, "127.0.0.1:7001": None, "127.0.0.1:7002": 0.0},
            "others": True,
            "until": 1700000600.5,
        },
        {"product": "ticket-read", "weights": {"\u00e9:1": 1}, "others": False, "until": 1.0},
    ],
    "most": 5,
    "refusals": [
        {
            "source": "module",
            "passed": False,
            "obeyed": True,
            "refusals": [
                {
                    "order": {"verb": "Empty", "setId": 9},
                    "rule": "bare",
                    "why": "the oldest, for which there is no room",
                    "would_pass": "",
                    "proxies": [],
                },
            ],
        },
        {
            "source": "module",
            "passed": False,
            "obeyed": True,
            "refusals": [
                {
                    "order": {"verb": "Upsert", "setId": 1, "worker": "10.0.0.1:80", "weight": 0.5},
                    "rule": "pushed",
                    "why": "21.0 txns a second by all proxies",
                    "would_pass": "of it at most 0.25",
                    "proxies": list(range(25)),
                },
                {
                    "order": {"verb": "AttachTable", "proxy": 3, "lanes": [0, 1], "setId": 2},
                    "rule": "bare",
                    "why": "none of its workers may be used",
                    "would_pass": "a ready worker that is not withdrawn",
                    "proxies": [3],
                },
            ],
        },
        {
            "source": "operator",
            "passed": True,
            "obeyed": True,
            "refusals": [
                {
                    "order": {"verb": "Bench", "worker": "10.0.0.2:80", "yes": True},
                    "rule": "bare",
                    "why": "w\u00e9",
                    "would_pass": "",
                    "proxies": [],
                },
            ],
        },
        {
            "source": "module",
            "passed": False,
            "obeyed": False,
            "refusals": [
                {
                    "order": {"verb": "Empty", "setId": 4},
                    "rule": "bare",
                    "why": "x",
                    "would_pass": "y",
                    "proxies": [0],
                },
                {
                    "order": {
                        "verb": "SetLevel",
                        "setId": 1,
                        "lane": 1,
                        "how": 2,
                        "allowance": 0.125,
                    },
                    "rule": "pushed",
                    "why": "x",
                    "would_pass": "y",
                    "proxies": [0, 1],
                },
            ],
        },
    ],
}


def put(folder: Path, values: Plain) -> None:
    """Write a store with these values by the code's own functions."""
    kept = Store(folder)
    for _ in range(values["lives"]):
        kept.next_epoch()
    kept.put_endpoint_list(bytes_of(values["list"]))
    term, voted, version, members = values["succession"]
    kept.put_vote(term, voted, version, members)
    term, voted, version, members = values["owners"]
    kept.put_vote(term, voted, version, members, OWNERS_LOG)
    kept.put_overrides([StoredOverride.from_plain(one) for one in values["pins"]])
    for batch in values["refusals"]:
        _refuse(kept, batch, values["most"])
    kept.close()


def _refuse(kept: Store, batch: Plain, most: int) -> None:
    """Refusals as the guard's part in a manager keeps them."""
    obeyed = batch["obeyed"]
    watch = RecordingOrderValidation(
        OrderValidator(manager_settings(), obeyed),
        obeyed,
        lambda event, **said: None,
        lambda records: kept.put_rejections(records, most),
    )
    refused = [
        Rejection(
            plain.order(said["order"]),
            said["rule"],
            said["why"],
            said["would_pass"],
            tuple(said["proxies"]),
            batch["passed"],
        )
        for said in batch["refusals"]
    ]
    with mock.patch("time.time", lambda: WALL):
        watch.record_rejections(refused, batch["source"])


def pairs(folder: Path) -> list[list[str]]:
    """All that a store holds, key by key, bytes as text."""
    with lmdb.open(str(folder), map_size=MAP_SIZE_BYTES, readonly=True) as env, env.begin() as view:
        return [[text_of(key), text_of(value)] for key, value in view.cursor()]


def fill(folder: Path, rows: list[list[str]]) -> None:
    """A store of these keys and values, written past the code's own functions."""
    folder.mkdir(parents=True)
    with lmdb.open(str(folder), map_size=MAP_SIZE_BYTES) as env, env.begin(write=True) as change:
        for key, value in rows:
            change.put(bytes_of(key), bytes_of(value))


def got(folder: Path) -> Plain:
    """What the code's own functions read of a store, and the number of the life that begins with
    it.
    """
    shown = read_rejections(folder)
    kept = Store(folder)
    body, vote, owners = kept.endpoint_list(), kept.vote(), kept.vote(OWNERS_LOG)
    found = {
        "list": None if body is None else text_of(body),
        "succession": None if vote is None else list(vote),
        "owners": None if owners is None else list(owners),
        "pins": [one.to_plain() for one in kept.overrides()],
        "refusals": msgspec.to_builtins(shown),
        "next_epoch": kept.next_epoch(),
    }
    kept.close()
    return found


def main() -> None:
    with TemporaryDirectory() as name:
        full, empty = Path(name) / "full", Path(name) / "empty"
        put(full, VALUES)
        rows = pairs(full)
        (DATA / FOLDER).mkdir(parents=True, exist_ok=True)
        shutil.copy(full / "data.mdb", DATA / FOLDER / "data.mdb")
        Store(empty).close()
        nothing = pairs(empty)
        write_json(
            CASES,
            {
                "values": VALUES,
                "pairs": rows,
                "got": got(full),
                "empty": {"pairs": nothing, "got": got(empty)},
            },
        )


if __name__ == "__main__":
    main()
