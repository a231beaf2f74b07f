"""Decisions about jobs, cells and targets on the users' platform. No I/O."""
