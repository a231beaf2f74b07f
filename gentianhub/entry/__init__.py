"""Assembly of one entry process."""

from gentianhub.entry.process import EntryProcess

__all__ = ["EntryProcess"]
