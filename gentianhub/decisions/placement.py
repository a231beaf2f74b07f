"""Choice of the target for the next task."""

from gentianhub.decisions.slots import SlotHoldings


def choose_most_idle(holdings: SlotHoldings) -> str | None:
    """Return the target with most idle slots, or None if every slot is in use."""
    target = max(holdings.held, key=holdings.count_idle, default=None)
    if target is None or not holdings.count_idle(target):
        return None
    return target
