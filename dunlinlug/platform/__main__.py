"""The manager on the platform as a program: `python -m dunlinlug.platform`."""

import ctypes.util

# Without this, trio asks for a library by name as it is imported, to name its threads, and the
# standard library answers by starting other programs. Where those are refused that is noise at
# best; threads do without names.
ctypes.util.find_library = lambda name: None  # noqa: ARG005 - the function's signature

from dunlinlug.platform.main import main  # noqa: E402

if __name__ == "__main__":
    main()
