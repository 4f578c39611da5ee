"""A frozen, slower version of the decision module, which the present one is compared with.

`tests/decision/reference_decisions.py` makes the comparison. The version dates from before the
cost of a batch was made to depend on what changed. `balance.py`, `state.py`, `listing.py`,
`seating.py` and `outstanding.py` are copies of the modules in `dunlinlug/` at a2de667 with changed
imports; comments and names follow `dunlinlug/decision/`, whose events, orders and settings they
use. Statements, numbers and their order must not be edited: the
present module is faster but decides the same. The model is removed once decisions themselves are
changed and measured again.

Three later fixes were made in both, here in plain form: a timer for orders that were deferred
because of the message limit (`OrderBatch.deferred`); slow start steps that do not exceed the
capacity of an endpoint of that age (`_slow_start_fraction`); and mandatory ejections, which are
ordered together or wait for room in the channel (`_count_due`).
"""
