"""Sets up the environment, then runs a mixed load through a local deployment."""

import sys

from environment import run_module

if __name__ == "__main__":
    sys.exit(run_module("gentianhub", "development", "demo", *sys.argv[1:]))
