"""Records the contents of a manager's store: keys and values as bytes, and the store's folder.

python -m tests.recorded.record_store
"""

import shutil
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import lmdb
import msgspec

from dunlinlug.guard import OrderValidator, Rejection
from dunlinlug.manager.order_validation import RecordingOrderValidation
from dunlinlug.storage.records import StoredOverride
from dunlinlug.storage.store import MAP_SIZE_BYTES, Store, read_rejections
from dunlinlug.storage.store import OWNERSHIP_VOTE_KEY as OWNERS_LOG
from tests.decision.rules_model import manager_settings
from tests.recorded import plain
from tests.recorded.plain import DATA, Plain, bytes_of, text_of, write_json

CASES, FOLDER = "store/cases.json", "store/folder"
WALL_TIME = 1_700_000_000.25  # seconds: the wall clock in the recorded data

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
    """Write a store with these values through `Store`."""
    store = Store(folder)
    for _ in range(values["lives"]):
        store.next_epoch()
    store.put_endpoint_list(bytes_of(values["list"]))
    term, voted, version, members = values["succession"]
    store.put_vote(term, voted, version, members)
    term, voted, version, members = values["owners"]
    store.put_vote(term, voted, version, members, OWNERS_LOG)
    store.put_overrides([StoredOverride.from_plain(one) for one in values["pins"]])
    for batch in values["refusals"]:
        _store_rejections(store, batch, values["most"])
    store.close()


def _store_rejections(store: Store, batch: Plain, max_records: int) -> None:
    """Store rejections through the validation of a manager, as the guard does."""
    is_enforced = batch["obeyed"]
    validation = RecordingOrderValidation(
        OrderValidator(manager_settings(), is_enforced),
        is_enforced,
        lambda event, **fields: None,
        lambda records: store.put_rejections(records, max_records),
    )
    rejections = [
        Rejection(
            plain.order(rejection["order"]),
            rejection["rule"],
            rejection["why"],
            rejection["would_pass"],
            tuple(rejection["proxies"]),
            batch["passed"],
        )
        for rejection in batch["refusals"]
    ]
    with mock.patch("time.time", lambda: WALL_TIME):
        validation.record_rejections(rejections, batch["source"])


def pairs(folder: Path) -> list[list[str]]:
    """All keys and values of a store, as text."""
    with (
        lmdb.open(str(folder), map_size=MAP_SIZE_BYTES, readonly=True) as env,
        env.begin() as transaction,
    ):
        return [[text_of(key), text_of(value)] for key, value in transaction.cursor()]


def create_store(folder: Path, rows: list[list[str]]) -> None:
    """Create a store with these keys and values directly, not through `Store`."""
    folder.mkdir(parents=True)
    with (
        lmdb.open(str(folder), map_size=MAP_SIZE_BYTES) as env,
        env.begin(write=True) as transaction,
    ):
        for key, value in rows:
            transaction.put(bytes_of(key), bytes_of(value))


def read_back(folder: Path) -> Plain:
    """What `Store` reads from a folder, and the epoch of the start that opens it."""
    rejections = read_rejections(folder)
    store = Store(folder)
    endpoint_list, vote, ownership_vote = (
        store.endpoint_list(),
        store.vote(),
        store.vote(OWNERS_LOG),
    )
    found = {
        "list": None if endpoint_list is None else text_of(endpoint_list),
        "succession": None if vote is None else list(vote),
        "owners": None if ownership_vote is None else list(ownership_vote),
        "pins": [one.to_plain() for one in store.overrides()],
        "refusals": msgspec.to_builtins(rejections),
        "next_epoch": store.next_epoch(),
    }
    store.close()
    return found


def main() -> None:
    with TemporaryDirectory() as name:
        full, empty = Path(name) / "full", Path(name) / "empty"
        put(full, VALUES)
        rows = pairs(full)
        (DATA / FOLDER).mkdir(parents=True, exist_ok=True)
        shutil.copy(full / "data.mdb", DATA / FOLDER / "data.mdb")
        Store(empty).close()
        empty_pairs = pairs(empty)
        write_json(
            CASES,
            {
                "values": VALUES,
                "pairs": rows,
                "got": read_back(full),
                "empty": {"pairs": empty_pairs, "got": read_back(empty)},
            },
        )


if __name__ == "__main__":
    main()
