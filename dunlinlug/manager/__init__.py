"""The runtime around the decision module, shared by both front ends; it makes no decisions.

The decision loop runs one decision module and carries out its orders. The other parts are the paced
channel, the installed tables, the endpoint watcher, health checks, load reports, validation,
signals and logs.
"""
