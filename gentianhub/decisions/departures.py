"""Targets that are leaving, by their own word or by the platform's host list."""

from collections.abc import Iterable

from attrs import define, field

from gentianhub.core import TargetAddress


@define(kw_only=True, eq=False)
class Departures:
    """Which targets get no new start because they leave.

    The host list lags, so a list that still shows a target as live does not
    overrule the target's own word. A target is back when the list shows it live
    after it showed it as leaving or not at all, or live at another address.
    """

    _announced: set[str] = field(init=False, factory=set)
    _listed: dict[str, TargetAddress] = field(init=False, factory=dict)

    def announce(self, target: str) -> None:
        """Record that a target said that it is leaving."""
        self._announced.add(target)

    def see_list(self, targets: Iterable[TargetAddress]) -> None:
        """Take the host list that was read last."""
        before, self._listed = self._listed, {item.name: item for item in targets}
        for target in self._listed.values():
            if not target.leaving and before.get(target.name) != target:
                self._announced.discard(target.name)

    def is_leaving(self, target: str) -> bool:
        """Return whether a target must get no new start."""
        listed = self._listed.get(target)
        return target in self._announced or (listed is not None and listed.leaving)

    def describe(self) -> dict[str, str]:
        """Return the reason for each target that is leaving."""
        listed = {
            name: "listed as leaving"
            for name, target in self._listed.items()
            if target.leaving
        }
        return listed | dict.fromkeys(sorted(self._announced), "it said it is leaving")
