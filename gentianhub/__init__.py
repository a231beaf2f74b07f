"""Dispatcher that distributes sub-second tasks from callers to targets."""

__version__ = "0.1.0"
