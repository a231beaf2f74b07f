"""The newest operator's configuration that a host has read or received."""

from collections.abc import Iterator

from gentianhub.capacity.events import ConfigurationOffer
from gentianhub.capacity.jobs import Configuration, Route
from gentianhub.core.records import define, field
from gentianhub.core.request_limits import RequestLimits
from gentianhub.host.decision_log import log_decision
from gentianhub.platform.content import ConfigurationDecoder
from gentianhub.platform.fields import FieldError

# Time in which a host can read a new configuration from the store itself, s; afterwards
# it requests it from a host that has it.
REQUEST_DELAY_S = 0.3
# Time for the answer to a request before another host is asked, s.
REQUEST_TIMEOUT_S = 0.7


@define(kw_only=True, eq=False)
class ConfigurationCache:
    """The newest configuration; `content` is in the operator's encoding.

    A host that cannot read the store requests the configuration from one other host at
    a time. When all others sent it with each heartbeat, a configuration of 1,330 routes
    filled the links of such hosts, and the heartbeats behind it were late.

    `sheds_load` is whether jobs are refused by priority when they don't fit.
    """

    sheds_load: bool = False
    current: Configuration | None = None
    content: bytes = b""
    _decoder: ConfigurationDecoder = field(
        init=False, factory=lambda: ConfigurationDecoder()
    )
    _newer_since_s: float | None = field(init=False, default=None)
    _requested_s: float = field(init=False, default=float("-inf"))

    @property
    def version(self) -> int:
        """Version of the configuration; 0 without one."""
        return self.current.version if self.current else 0

    @property
    def limits(self) -> RequestLimits:
        """Limits of requests; the defaults without a configuration."""
        return self.current.limits if self.current else RequestLimits()

    def list_priorities(self) -> tuple[int, ...]:
        """Return the priorities of the routes, sorted; none without load shedding."""
        return self.current.priorities if self.sheds_load and self.current else ()

    def find_rank(self, route: Route) -> int | None:
        """Return the rank of a route's priority; None without load shedding."""
        return self.current.find_rank(route) if self.sheds_load else None

    def build_offers(self) -> Iterator[ConfigurationOffer]:
        """Yield the configuration for another host, if there is one."""
        if self.version:
            yield ConfigurationOffer(version=self.version, content=self.content)

    def adopt(self, content: bytes, source: str) -> None:
        """Decode and keep a configuration if it is newer than the current one."""
        try:
            decoded = self._decoder.decode(content)
        except FieldError as error:
            log_decision("configuration not usable", source, reason=str(error))
            return
        if self.current and decoded.version <= self.current.version:
            return
        self.current, self.content = decoded, content
        self._newer_since_s, self._requested_s = None, float("-inf")
        log_decision(
            "configuration adopted",
            source,
            version=decoded.version,
            routes=len(decoded.routes),
        )

    def should_request(self, other_version: int, now_s: float) -> bool:
        """Whether to request the configuration of a host that has this version."""
        if other_version <= self.version:
            return False
        if self._newer_since_s is None:
            self._newer_since_s = now_s
        delay_s = REQUEST_DELAY_S if self.current else 0.0
        if (
            now_s < self._newer_since_s + delay_s
            or now_s < self._requested_s + REQUEST_TIMEOUT_S
        ):
            return False
        self._requested_s = now_s
        return True
