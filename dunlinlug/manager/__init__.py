"""The running manager's host parts, shared by both front ends; they decide nothing.

The decision loop hosts one decision module and carries out its orders. Around it stand the paced
channel, the installed tables, the endpoint watcher, health checks, reports, validation, signals
and logs.
"""
