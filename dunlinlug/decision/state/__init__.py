"""The books of the decision module: what is, kept up change by change. Nothing here is decided,
read or timed.

Thresholds and shares come from `dunlinlug/balance.py`; each book stands beside a slow plain model
in its tests.
"""
