"""xDS as messages and plain records: rendering, reading, both sides' stream state; no sockets, no
clock.
"""
