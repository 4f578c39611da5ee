"""Runs the command line as `python -m dunlinlug`."""

from dunlinlug.cli import main

main()
