"""Bounds on the share of its jobs that a route or a size class may lose."""

from collections.abc import Iterator

from gentianhub.capacity.worth import JobWorth, SizeClass
from gentianhub.core.records import define, field

# Time after which an earlier arrival or loss counts half, s.
HALF_LIFE_S = 5.0
# A route is served at least this fraction as often as all routes together.
MIN_ROUTE_FRACTION = 0.3
# A size class is served at least this fraction as often as its route. The requirement
# is a half; the rest covers jobs that are given up later, and errors of the estimates.
MIN_CLASS_FRACTION = 0.6
# Counts are scaled down when the weight of a new event exceeds this. After as many half
# lives without an event, earlier ones count nothing.
MAX_DOUBLINGS = 40

ShareKey = tuple[str, SizeClass | None]
# Key of all routes together.
ALL_ROUTES: ShareKey = ("", None)


@define(kw_only=True, eq=False)
class ServedShares:
    """Arrivals and losses of jobs, by route and by size class of a route.

    Counts decay exponentially: instead of them, the weight of new events grows.
    """

    _arrived: dict[ShareKey, float] = field(init=False, factory=dict)
    _lost: dict[ShareKey, float] = field(init=False, factory=dict)
    _weight: float = field(init=False, default=1.0)
    _updated_s: float | None = field(init=False, default=None)

    def record_arrival(self, worth: JobWorth, now_s: float) -> None:
        """Count a job that waits for capacity."""
        self._advance(now_s)
        for key in _find_keys(worth):
            self._arrived[key] = self._arrived.get(key, 0.0) + self._weight

    def record_loss(self, worth: JobWorth, now_s: float) -> None:
        """Count a waiting job that is refused or given up."""
        self._advance(now_s)
        for key in _find_keys(worth):
            self._lost[key] = self._lost.get(key, 0.0) + self._weight

    def is_protected(self, worth: JobWorth) -> bool:
        """Whether so many jobs of the route or class were lost that a bound is passed.

        A route or class of which no job was lost is not protected: there may be more
        than a thousand routes with few jobs each, and priorities would have no effect.
        """
        route = self._find_share((worth.route, None))
        return (
            route < MIN_ROUTE_FRACTION * self._find_share(ALL_ROUTES)
            or self._find_share((worth.route, worth.size)) < MIN_CLASS_FRACTION * route
        )

    def _find_share(self, key: ShareKey) -> float:
        arrived = self._arrived.get(key, 0.0)
        if not arrived:
            return 1.0
        return max(0.0, 1 - self._lost.get(key, 0.0) / arrived)

    def _advance(self, now_s: float) -> None:
        if self._updated_s is not None and now_s > self._updated_s:
            doublings = (now_s - self._updated_s) / HALF_LIFE_S
            self._weight *= 2 ** min(MAX_DOUBLINGS, doublings)
        self._updated_s = max(now_s, self._updated_s or now_s)
        if self._weight > 2**MAX_DOUBLINGS:
            for counts in (self._arrived, self._lost):
                for key in counts:
                    counts[key] /= self._weight
            self._weight = 1.0


def _find_keys(worth: JobWorth) -> Iterator[ShareKey]:
    yield ALL_ROUTES
    yield worth.route, None
    yield worth.route, worth.size
