"""Targets that are leaving, by their own word or by the platform's host list."""

from collections.abc import Iterable

from attrs import define, field

from gentianhub.core import TargetAddress

# Other entry processes repeat for 10 s that a target is leaving. A target that came
# back in this time must not count as leaving again because of such a message.
REPEATED_NOTICE_S = 15.0


@define(kw_only=True, eq=False)
class Departures:
    """Which targets get no new start because they leave.

    The host list lags, so a list that still shows a target as live does not
    overrule the target's own word. A target is back when the list shows it live
    after it showed it as leaving or not at all, or live at another address.
    """

    _self_reported: set[str] = field(init=False, factory=set)
    _listed: dict[str, TargetAddress] = field(init=False, factory=dict)
    _returned_s: dict[str, float] = field(init=False, factory=dict)

    def mark_leaving(self, target: str) -> None:
        """Record that a target said that it is leaving."""
        self._self_reported.add(target)

    def handle_notice(self, target: str, now_s: float) -> None:
        """Take another entry process's word that a target said it is leaving."""
        returned_s = self._returned_s.get(target, -REPEATED_NOTICE_S)
        if now_s >= returned_s + REPEATED_NOTICE_S:
            self.mark_leaving(target)

    def update_list(self, targets: Iterable[TargetAddress], now_s: float) -> None:
        """Take the host list that was read last."""
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
        """Return whether a target must get no new start."""
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
            sorted(self._self_reported), "it said it is leaving"
        )
