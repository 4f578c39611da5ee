"""Bytes recorded by an earlier version of the code, with which the present one is compared."""
