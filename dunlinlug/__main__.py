"""`python -m dunlinlug`."""

from dunlinlug.cli import main

main()
