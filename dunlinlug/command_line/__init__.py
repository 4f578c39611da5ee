"""The commands of `dunlinlug`, one module per group; `dunlinlug/cli.py` is the entry point."""
