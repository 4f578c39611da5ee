"""The simulator's adapter, under the name that the deploy page spells out; see `simulator`."""
