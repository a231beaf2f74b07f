"""Entry point of the command line: `python -m gentianhub`."""

from gentianhub.cli import run

run()
