"""Scenarios: a fleet of stand-ins and managers on loopback, with faults injected by a timeline."""
