"""Dispatch decisions as pure code, without I/O, clocks or message encoding."""

from gentianhub.decisions.description import StateDescription
from gentianhub.decisions.dispatch import Dispatcher
from gentianhub.decisions.ledger import IdBlock, JobAccepted, Ledger

__all__ = ["Dispatcher", "IdBlock", "JobAccepted", "Ledger", "StateDescription"]
