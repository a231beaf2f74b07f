"""Library for callers; its peer is the entry process."""
