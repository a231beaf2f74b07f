"""Decisions as pure code: no sockets, no clocks of their own, no codecs."""

from gentianhub.decisions.description import StateDescription
from gentianhub.decisions.dispatch import Dispatcher
from gentianhub.decisions.ledger import IdBlock, JobAccepted, Ledger

__all__ = ["Dispatcher", "IdBlock", "JobAccepted", "Ledger", "StateDescription"]
