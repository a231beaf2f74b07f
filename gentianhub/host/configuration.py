"""The newest operator's configuration that a host has read or received."""

from attrs import define

from gentianhub.capacity.jobs import Configuration
from gentianhub.host.decision_log import log_decision
from gentianhub.platform.content import decode_configuration
from gentianhub.platform.fields import FieldError

# Time in which other hosts can read a new configuration from the store themselves, s;
# afterwards it is offered to those with an older version.
OFFER_DELAY_S = 0.3


@define(kw_only=True, eq=False)
class ConfigurationCache:
    """The newest configuration; `content` is in the operator's encoding.

    `adopted_s` is monotonic.
    """

    current: Configuration | None = None
    content: bytes = b""
    adopted_s: float = 0.0

    @property
    def version(self) -> int:
        """Version of the configuration; 0 without one."""
        return self.current.version if self.current else 0

    def adopt(self, content: bytes, source: str, now_s: float) -> None:
        """Decode and keep a configuration if it is newer than the current one."""
        try:
            decoded = decode_configuration(content)
        except FieldError as error:
            log_decision("configuration not usable", source, reason=str(error))
            return
        if self.current and decoded.version <= self.current.version:
            return
        self.current, self.content, self.adopted_s = decoded, content, now_s
        log_decision(
            "configuration adopted",
            source,
            version=decoded.version,
            routes=len(decoded.routes),
        )

    def should_offer(self, known_version: int, now_s: float) -> bool:
        """Whether a host with this version should be sent the newer one."""
        return known_version < self.version and now_s > self.adopted_s + OFFER_DELAY_S
