"""Back-off between attempts to dial a process: one attempt at a time, with jitter."""

from random import Random

from attrs import define, field, frozen

from gentianhub.linking.link_events import DialTarget

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 5.0
MAX_DOUBLINGS = 6


@frozen(kw_only=True)
class DialState:
    """Consecutive failed attempts; `due_s` is the monotonic time of the next one."""

    failures: int = 0
    due_s: float = 0.0
    is_dialling: bool = False


@define(kw_only=True, eq=False)
class DialBook:
    """State of the attempts by address.

    Parameters
    ----------
    max_delay_s : float
        Longest delay between two attempts, s.
    """

    max_delay_s: float = MAX_DELAY_S
    random: Random = field(factory=Random)
    _states: dict[DialTarget, DialState] = field(init=False, factory=dict)

    def may_dial(self, target: DialTarget, now_s: float) -> bool:
        """Whether no attempt is in progress and the back-off is over."""
        state = self._states.get(target, DialState())
        return not state.is_dialling and state.due_s <= now_s

    def is_dialling(self, target: DialTarget) -> bool:
        """Whether an attempt, or the link that it led to, is open."""
        return self._states.get(target, DialState()).is_dialling

    def begin(self, target: DialTarget) -> None:
        """Record the start of an attempt."""
        failures = self._states.get(target, DialState()).failures
        self._states[target] = DialState(failures=failures, is_dialling=True)

    def fail(self, target: DialTarget, now_s: float) -> None:
        """Record a failed attempt and draw the delay of the next, with full jitter."""
        failures = self._states.get(target, DialState()).failures + 1
        doublings = min(failures - 1, MAX_DOUBLINGS)
        upper_s = min(self.max_delay_s, FIRST_DELAY_S * 2**doublings)
        delay_s = self.random.uniform(FIRST_DELAY_S / 2, upper_s)
        self._states[target] = DialState(failures=failures, due_s=now_s + delay_s)

    def end(self, target: DialTarget) -> None:
        """Record that an attempt led to a link, or that its link has ended."""
        self._states.pop(target, None)

    def keep_only(self, targets: set[DialTarget]) -> None:
        """Remove the state of addresses that are no longer dialled."""
        self._states = {
            target: state
            for target, state in self._states.items()
            if target in targets or state.is_dialling
        }
