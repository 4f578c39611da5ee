"""The decision module as it stood before a turn came to cost what changed: the model for `tests/decision/reference_decisions.py`.

`balance.py`, `state.py`, `listing.py`, `seating.py` and `outstanding.py` are copies of `dunlinlug/` at a2de667 with
their imports turned to this package, and nothing else; events, orders and settings are those of `dunlinlug/decision/`. Not
to be edited: whatever the present text does faster, it decides as this one does. It falls away in the round in which
decisions themselves are changed and measured anew. Three mends of faults stand in both, here in plain form: a timer
for what was left for want of messages (`Reply.left`); steps of slow start that are no more than an endpoint bears (`_part`); and
ejections that the safety rules demand, which go together or wait for room (`_together`).
"""
