"""`python -m dunlinlug.platform`."""

from dunlinlug.platform.main import main

if __name__ == "__main__":
    main()
