"""Peer: the other entry processes."""
