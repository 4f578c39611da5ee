"""What is kept of the last batch's orders, for those that are rejected.

Bookkeeping only: no decisions are made here. The host reports the rejections of a batch with the
next one, so that only the last batch's orders have to be kept.
"""


class LastBatch:
    """Holds which of the last batch's ejections were mandatory."""

    def __init__(self) -> None:
        self.mandatory_ejections = set[int]()  # rows

    def clear(self) -> None:
        """Forget the last batch; the next one begins."""
        self.mandatory_ejections.clear()
