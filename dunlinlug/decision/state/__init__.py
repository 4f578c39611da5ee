"""The state that the decisions go by, kept up change by change.

Nothing is decided here, nothing is read from outside and no clock is asked: thresholds, weights
and the order of steps are those of the modules in `dunlinlug/decision/`. Each class stands beside a
slow plain model in its tests.
"""
