"""Reading INI files: sections, units in values, one message for each mistake."""

from dunlinlug.config.reader import Book, ConfigFault, read_book
from dunlinlug.config.units import Address, Count, PerSecond, Seconds, Share, Words

__all__ = [
    "Address",
    "Book",
    "ConfigFault",
    "Count",
    "PerSecond",
    "Seconds",
    "Share",
    "Words",
    "read_book",
]
