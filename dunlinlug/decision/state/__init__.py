"""The state on which the decision module bases its decisions, updated incrementally.

This package makes no decisions, performs no I/O and reads no clock: thresholds, weights and the
order of steps are set by the modules in `dunlinlug/decision/`. The tests compare each class with a
slow, plain model.
"""
