"""Sets up the environment and runs a mixed load on a local deployment."""

import sys

from environment import run_module

if __name__ == "__main__":
    sys.exit(run_module("gentianhub", "development", "demo", *sys.argv[1:]))
