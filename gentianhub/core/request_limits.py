"""Limits of the requests that a port accepts."""

from gentianhub.core.records import frozen


@frozen(kw_only=True)
class RequestLimits:
    """Limits of one request; times are in seconds.

    The header section has at most `max_header_bytes` and must be complete
    `header_timeout_s` after its first byte. A connection without a request is closed
    after `idle_timeout_s`. The defaults admit all that http.client sends.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 262_144
    header_timeout_s: float = 30.0
    idle_timeout_s: float = 30.0
