"""Runs one host of a deployment: `python -m gentianhub.host`."""

import gc
import sys


def run_host() -> int:
    """Import and run the host's program; return its exit code."""
    # Imports create no garbage. Looking for it takes a twelfth of their time, in which
    # a host that starts again serves nobody.
    gc.disable()
    from gentianhub.host.main import run

    return run()


if __name__ == "__main__":
    sys.exit(run_host())
