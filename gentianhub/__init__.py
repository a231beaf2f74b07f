"""Dispatcher for sub-second tasks between callers and targets."""

__version__ = "0.1.0"
