"""Reading INI files: sections, units in values, one message for each mistake."""

from dunlinlug.config.reader import Book, BookFault, read_book
from dunlinlug.config.units import Address, Count, PerSecond, Seconds, Share, Words

__all__ = ["Address", "Book", "BookFault", "Count", "PerSecond", "Seconds", "Share", "Words", "read_book"]
