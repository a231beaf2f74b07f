"""Settings in JSON with comments, checked whole before anything starts."""

from gentianhub.settings.loader import load_settings, select_process
from gentianhub.settings.model import (
    Endpoint,
    HostSettings,
    LimitSettings,
    ProcessSettings,
)

__all__ = [
    "Endpoint",
    "HostSettings",
    "LimitSettings",
    "ProcessSettings",
    "load_settings",
    "select_process",
]
