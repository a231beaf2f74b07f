"""The command-line interface."""

from gentianhub.cli.main import run

__all__ = ["run"]
