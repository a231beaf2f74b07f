"""Settings files: JSON with comments, validated completely before start-up."""

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
