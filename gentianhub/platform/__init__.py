"""Peer: the users' platform. Adapter for its names, formats and calls, no decisions."""
