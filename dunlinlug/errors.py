"""Base class of the errors that dunlinlug raises deliberately."""


class DunlinlugError(Exception):
    """A fault outside the program: in its input, a peer, a file or a store.

    Subclasses state what was wrong and where; their text can be shown to an operator unchanged.
    """
