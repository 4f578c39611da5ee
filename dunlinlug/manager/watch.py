"""The guard in the manager's loop: has each reply judged, tells the module, the log and the store of refusals."""

import time
from collections.abc import Callable, Sequence
from typing import Any

from dunlinlug import interface as face
from dunlinlug.guard import Judge, Refusal


class Watch:
    """With `obeyed` false it only tells what would be refused. `keep` gets each batch of refusals as plain records."""

    def __init__(
        self,
        judge: Judge,
        obeyed: bool,
        note: Callable[..., None],
        keep: Callable[[list[dict[str, Any]]], None],
    ) -> None:
        self.judge, self.obeyed, self.note, self.keep = judge, obeyed, note, keep
        self.count = 0
        self.after: Callable[[float, list[Refusal]], None] | None = (
            None  # told after each reply is judged
        )

    def look(
        self,
        now: float,
        events: Sequence[face.Event],
        orders: list[face.Order],
        tell: Callable[[face.Event], None],
    ) -> tuple[list[face.Order], list[int]]:
        """The orders to carry out, and the proxies that a refused one concerned."""
        self.judge.hear(now, events)
        passed, refusals = self.judge.judge(now, orders)
        if refusals:
            self.record(refusals, "module")
        if self.after is not None:
            self.after(now, refusals if self.obeyed else [])
        if not self.obeyed:
            return orders, []
        concerned = list[int]()
        for refusal in refusals:
            if not refusal.passed:
                concerned += refusal.proxies
                tell(face.Refused(refusal.order, refusal.said))  # type: ignore[arg-type]
        return passed, concerned

    def record(self, refusals: list[Refusal], source: str) -> None:
        """Tell the log and the ring on disk; `source` is whose orders they were."""
        kept = []
        for refusal in refusals:
            self.count += 1
            said = {
                "source": source,
                "rule": refusal.rule,
                "order": str(refusal.order),
                "why": refusal.said,
                "would_pass": refusal.would_pass,
                "proxies": list(refusal.proxies[:20]),
                "done": "passed as the lesser harm"
                if refusal.passed
                else "refused"
                if self.obeyed
                else "passed, as the guard only watches",
            }
            self.note("guard.refused", count=self.count, **said)
            kept.append({"wall": time.time(), **said})
        self.keep(kept)
