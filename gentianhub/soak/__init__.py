"""Randomised soak test of real hosts under faults injected from outside.

Hosts are separate processes. The process that runs the soak test serves stand-ins of
the platform's store and of the targets behind TCP relays, and simulates the callers.
The answers that callers received are compared with the runs that targets
recorded.
"""

from gentianhub.soak.run import SoakPlan, SoakResult, run_command, run_soak

__all__ = ["SoakPlan", "SoakResult", "run_command", "run_soak"]
