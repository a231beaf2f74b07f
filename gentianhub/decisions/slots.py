"""Slots that this process may use now."""

from attrs import define, field


@define(kw_only=True, eq=False)
class SlotHoldings:
    """Slots held per target, and how many of them are in use."""

    held: dict[str, int] = field(init=False, factory=dict)
    in_use: dict[str, int] = field(init=False, factory=dict)

    def set_held(self, target: str, count: int) -> None:
        """Hold `count` slots of a target."""
        self.held[target] = count
        self.in_use.setdefault(target, 0)

    def drop_target(self, target: str) -> None:
        """Hold no slot of a target; tasks that run there may end."""
        self.held.pop(target, None)

    def count_idle(self, target: str) -> int:
        """Return the slots of a target that may start a task now."""
        return max(0, self.held.get(target, 0) - self.in_use.get(target, 0))

    def occupy(self, target: str) -> None:
        """Use one idle slot."""
        assert self.count_idle(target) > 0, f"no idle slot of {target}"
        self.in_use[target] += 1

    def release(self, target: str) -> None:
        """Return one slot in use."""
        assert self.in_use.get(target, 0) > 0, f"no slot of {target} in use"
        self.in_use[target] -= 1
        if not self.in_use[target] and target not in self.held:
            del self.in_use[target]
