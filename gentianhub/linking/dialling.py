"""Back-off between attempts to dial a process: one attempt at a time, with jitter."""

from random import Random

from gentianhub.core.records import define, field, frozen
from gentianhub.linking.link_events import DialAddress

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 5.0
MAX_DOUBLINGS = 6


@frozen(kw_only=True)
class DialState:
    """Consecutive failed attempts; `due_s` is the monotonic time of the next one."""

    failures: int = 0
    due_s: float = 0.0
    is_in_use: bool = False


@define(kw_only=True, eq=False)
class DialBackoff:
    """State of the attempts by address.

    Parameters
    ----------
    max_delay_s : float
        Longest delay between two attempts, s.
    """

    max_delay_s: float = MAX_DELAY_S
    random: Random = field(factory=Random)
    _states: dict[DialAddress, DialState] = field(init=False, factory=dict)

    def is_due(self, address: DialAddress, now_s: float) -> bool:
        """Whether no attempt is in progress and the back-off is over."""
        state = self._states.get(address, DialState())
        return not state.is_in_use and state.due_s <= now_s

    def is_in_use(self, address: DialAddress) -> bool:
        """Whether an attempt, or the link that it led to, is open."""
        return self._states.get(address, DialState()).is_in_use

    def record_attempt(self, address: DialAddress) -> None:
        """Record the start of an attempt."""
        failures = self._states.get(address, DialState()).failures
        self._states[address] = DialState(failures=failures, is_in_use=True)

    def record_failure(self, address: DialAddress, now_s: float) -> None:
        """Record a failed attempt and draw the delay of the next, with full jitter."""
        failures = self._states.get(address, DialState()).failures + 1
        doublings = min(failures - 1, MAX_DOUBLINGS)
        upper_s = min(self.max_delay_s, FIRST_DELAY_S * 2**doublings)
        delay_s = self.random.uniform(FIRST_DELAY_S / 2, upper_s)
        self._states[address] = DialState(failures=failures, due_s=now_s + delay_s)

    def reset(self, address: DialAddress) -> None:
        """Record that an attempt led to a link, or that its link has ended."""
        self._states.pop(address, None)

    def retain(self, addresses: set[DialAddress]) -> None:
        """Remove the state of addresses that are no longer dialled."""
        self._states = {
            address: state
            for address, state in self._states.items()
            if address in addresses or state.is_in_use
        }
