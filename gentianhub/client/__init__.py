"""Client library with which callers submit jobs to entry processes."""

from gentianhub.client.client import Client, JobContent, open_client
from gentianhub.client.transport import EntryAddress
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
