"""Peer: the users' platform. Names, formats and calls; nothing here decides."""
