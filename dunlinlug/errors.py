"""The base of every error that this project raises on purpose."""


class DunlinlugError(Exception):
    """Something outside the program is wrong: input, a peer, a file, a store.

    Children carry what was wrong and where; their text can be shown to an operator as it is.
    """
