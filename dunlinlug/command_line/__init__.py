"""The commands of `dunlinlug`, a module for each group; `dunlinlug/cli.py` is the entry point."""
