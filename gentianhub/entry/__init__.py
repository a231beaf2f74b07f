"""Entry process, which accepts jobs from callers and dispatches their tasks."""

from gentianhub.entry.process import EntryProcess

__all__ = ["EntryProcess"]
