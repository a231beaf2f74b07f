"""Library for callers; its peer is the entry process."""

from gentianhub.client.client import Client, JobContent, open_client
from gentianhub.client.exchange import EntryAddress
from gentianhub.core import JobComplete, JobFailed, Refusal, Task

__all__ = [
    "Client",
    "EntryAddress",
    "JobComplete",
    "JobContent",
    "JobFailed",
    "Refusal",
    "Task",
    "open_client",
]
