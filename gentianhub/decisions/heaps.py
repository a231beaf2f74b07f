"""A heap with changeable keys and removal without a search."""

import heapq
from typing import Any, Generic, TypeVar

from gentianhub.core.records import define, field

T = TypeVar("T")
MIN_COMPACTION_SIZE = 64


@define(kw_only=True, eq=False)
class LazyHeap(Generic[T]):
    """Min-heap of hashable items; stale entries are removed lazily.

    Items with equal keys are ordered by insertion.
    """

    _entries: list[tuple[Any, int, T]] = field(init=False, factory=list)
    _current: dict[T, tuple[Any, int]] = field(init=False, factory=dict)
    _number: int = field(init=False, default=0)

    def __len__(self) -> int:
        return len(self._current)

    def put(self, key, item: T) -> None:
        """Add an item, or change its key."""
        known = self._current.get(item)
        if known is not None and known[0] == key:
            return
        self._number += 1
        self._current[item] = (key, self._number)
        heapq.heappush(self._entries, (key, self._number, item))
        if len(self._entries) > MIN_COMPACTION_SIZE + 2 * len(self._current):
            self._compact()

    def remove(self, item: T) -> None:
        """Remove an item if it is present."""
        self._current.pop(item, None)

    def peek(self) -> tuple[Any, T] | None:
        """Return the smallest key with its item, or None."""
        while self._entries:
            key, number, item = self._entries[0]
            known = self._current.get(item)
            if known is not None and known[1] == number:
                return key, item
            heapq.heappop(self._entries)
        return None

    def _compact(self) -> None:
        self._entries = [
            (key, number, item) for item, (key, number) in self._current.items()
        ]
        heapq.heapify(self._entries)
