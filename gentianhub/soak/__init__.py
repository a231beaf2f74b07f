"""Randomised soak test of real hosts under faults injected from outside.

Hosts are separate processes. The platform's store, the targets and the callers are
simulated in the process that runs the soak test; the store and the targets are behind
TCP relays. The answers that callers received are compared with the runs that targets
recorded.
"""

from gentianhub.soak.run import SoakPlan, SoakResult, run_command, run_soak

__all__ = ["SoakPlan", "SoakResult", "run_command", "run_soak"]
