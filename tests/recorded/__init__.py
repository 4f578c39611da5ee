"""Bytes recorded from an earlier state of the code, which the present code is held to."""
