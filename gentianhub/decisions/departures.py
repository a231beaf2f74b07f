"""Targets that are leaving, by their own notice or by the platform's host list."""

from collections.abc import Iterable

from gentianhub.core import TargetAddress
from gentianhub.core.records import define, field

# Other entry processes repeat the notice that a target is leaving for 10 s. A target
# that returned in this time must not count as leaving again because of a repeat.
REPEATED_NOTICE_S = 15.0


@define(kw_only=True, eq=False)
class Departures:
    """Targets that get no new tasks because they are leaving.

    The host list lags, so a list that still shows a target as live does not override
    the target's own notice. A target has returned when the list shows it as live after
    it showed it as leaving or not at all, or as live at another address.
    """

    _self_reported: set[str] = field(init=False, factory=set)
    _listed: dict[str, TargetAddress] = field(init=False, factory=dict)
    _returned_s: dict[str, float] = field(init=False, factory=dict)

    def mark_leaving(self, target: str) -> None:
        """Record the notice of a target that it is leaving."""
        self._self_reported.add(target)

    def handle_notice(self, target: str, now_s: float) -> None:
        """Handle another entry process's report that a target is leaving."""
        returned_s = self._returned_s.get(target, -REPEATED_NOTICE_S)
        if now_s >= returned_s + REPEATED_NOTICE_S:
            self.mark_leaving(target)

    def update_list(self, targets: Iterable[TargetAddress], now_s: float) -> None:
        """Update the targets from the latest host list."""
        before, self._listed = self._listed, {item.name: item for item in targets}
        for name in sorted(self._self_reported):
            listed = self._listed.get(name)
            is_live = listed is not None and not listed.leaving
            if listed is None or (is_live and before.get(name) != listed):
                self._self_reported.discard(name)
                self._returned_s[name] = now_s
        self._returned_s = {
            name: returned_s
            for name, returned_s in self._returned_s.items()
            if now_s < returned_s + REPEATED_NOTICE_S
        }

    def is_leaving(self, target: str) -> bool:
        """Return whether a target is leaving and must get no new tasks."""
        listed = self._listed.get(target)
        return target in self._self_reported or (listed is not None and listed.leaving)

    def describe(self) -> dict[str, str]:
        """Return the reason for each target that is leaving."""
        listed = {
            name: "listed as leaving"
            for name, target in self._listed.items()
            if target.leaving
        }
        return listed | dict.fromkeys(
            sorted(self._self_reported), "it sent a notice that it is leaving"
        )
