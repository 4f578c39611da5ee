"""Scenarios: managers and stand-in processes on loopback, with faults injected on a timeline."""
