"""Command line."""

from gentianhub.cli.main import run

__all__ = ["run"]
