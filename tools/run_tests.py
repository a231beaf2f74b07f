"""Sets up the environment and runs the tests with nose2."""

import sys

from environment import run_module

if __name__ == "__main__":
    sys.exit(run_module("tools.tests", *sys.argv[1:]))
