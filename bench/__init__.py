"""Measurements; each prints what it measured and at which size, and none is part of the tests."""
