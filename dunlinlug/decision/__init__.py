"""The decisions of a manager: from events to orders, free of sockets, clocks and files.

`dunlinlug/balance.py` is the entry. `docs/design.md` names the modules and tells the reasons.
"""
