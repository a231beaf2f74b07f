"""Randomised fault injection into real processes; a development tool."""

from gentianhub.fault_run.run import RunPlan, print_report, run_command, run_faults

__all__ = ["RunPlan", "print_report", "run_command", "run_faults"]
