"""The decision module of a manager: turns events into orders without sockets, clocks or files.

`dunlinlug/balance.py` is the entry point. `docs/design.md` describes the modules and the design.
"""
