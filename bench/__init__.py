"""Benchmarks, run by hand; each prints what it measured and at which size."""
