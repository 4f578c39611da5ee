"""What stands at a manager, by product, as plain values for people and programs."""

from collections import Counter
from typing import Any

from dunlinlug import interface as face
from dunlinlug.ads.desk import Desk
from dunlinlug.guard import Judge, Pins
from dunlinlug.operators import words


def tables(
    now: float, products: tuple[face.Product, ...], desk: Desk, judge: Judge, pins: Pins
) -> list[dict[str, Any]]:
    """For each product its tables in use, most used first, how many proxies have none or may be on several, its pin."""
    shown = []
    for k, product in enumerate(products):
        used = Counter(seat.bound[k] for seat in desk.seats.values() if k in seat.bound)
        several = sum(len(judge.holdings.tables_of(proxy, k)) > 1 for proxy in desk.seats)
        pin = pins.standing.get(k)
        shown.append(
            {
                "product": product.name,
                "proxies": len(desk.seats),
                "without_table": len(desk.seats) - used.total(),
                "in_change": several,
                "pin": words.pin_said(pin, products, now) if pin else None,
                "tables": [_table(desk, judge, tbl, k, count) for tbl, count in used.most_common()],
            }
        )
    return shown


def _table(desk: Desk, judge: Judge, tbl: int, product: int, count: int) -> dict[str, Any]:
    laid = desk.tables[tbl]
    retry, share = laid.levels.get(product, (desk.usual, 1.0))
    return {
        "table": laid.name,
        "proxies": count,
        "share_let_in": share,
        "retry": retry,
        "lines": [
            _line(desk, judge, worker, weight) for worker, weight in sorted(laid.lines.items())
        ],
    }


def _line(desk: Desk, judge: Judge, worker: str, weight: float) -> dict[str, Any]:
    listed = judge.listed.get(worker)
    return {
        "worker": worker,
        "weight": round(weight, 6),
        "zone": desk.zones.get(worker, ""),
        "state": listed.state if listed else "unknown",
        "withdrawn": worker in desk.out,
    }
