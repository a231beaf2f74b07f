"""Choice of the waiting jobs to refuse when they do not fit in the capacity.

Nothing is refused if all jobs that are not late fit. Otherwise the rule is that of
Moore and Hodgson, for one priority after the other. Jobs are walked in the order of
their latest start. Whenever one could not start in time, the job with the least worth
per core-second among those so far is refused. This minimizes the number of refused jobs
if all need the same work, at a cost of n log n.
"""

import enum
import heapq
from collections.abc import Iterable, Iterator
from itertools import groupby

from gentianhub.capacity.backlog import CapacityCurve
from gentianhub.capacity.shares import ServedShares
from gentianhub.capacity.tasks import CellJob
from gentianhub.capacity.worth import JobWorth
from gentianhub.core.records import define, field, frozen


class RefusalReason(enum.Enum):
    """Why a waiting job is refused, for log lines."""

    TOO_LATE = "too late"
    NO_CAPACITY = "no capacity in time"
    LESS_WORTH = "others are worth more"


@frozen(kw_only=True, eq=False)
class Candidate:
    """A waiting job; its `work` here is in millicores times seconds.

    `start_work` is the part of it that its own start takes: its tasks need not have
    ended when the last of them starts. `may_refuse` is false for a job of which a task
    may have started. A job that `may_be_tried` is not refused because of its own
    expected run time: only a run of its route can correct that.
    """

    job: CellJob
    worth: JobWorth
    work: float
    start_work: float
    latest_start_s: float
    may_refuse: bool
    may_be_tried: bool = False


@frozen(kw_only=True, eq=False)
class Refusal:
    """A job to refuse.

    `work` is the work of the jobs before it and its own, and `startable` the work that
    can start in time, in millicores times seconds. `millicores` is the capacity.
    """

    candidate: Candidate
    reason: RefusalReason
    work: float
    startable: float
    millicores: float


@define(kw_only=True, eq=False)
class RefusalChoice:
    """One walk over the waiting jobs of a cell.

    After the walk, `work` is the work of the jobs that were kept.
    """

    curve: CapacityCurve
    shares: ServedShares
    work: float = field(init=False, default=0.0)
    _fixed_work: float = field(init=False, default=0.0)
    _kept: list[tuple[bool, float, float, int, Candidate]] = field(
        init=False, factory=list
    )

    def choose(self, candidates: Iterable[Candidate]) -> Iterator[Refusal]:
        """Yield the jobs to refuse, and count them as losses."""
        in_time = []
        for candidate in sorted(candidates, key=lambda c: c.latest_start_s):
            is_late = candidate.latest_start_s < self.curve.now_s
            if is_late and candidate.may_refuse and not candidate.may_be_tried:
                yield self._refuse(candidate, RefusalReason.TOO_LATE, 0.0)
            else:
                in_time.append(candidate)
        if self._fits(in_time):
            return
        ordered = sorted(in_time, key=lambda c: c.job.rank)
        self.work = 0.0
        for _, group in groupby(ordered, key=lambda c: c.job.rank):
            # Work of lower ranks starts later, and has no effect on that of this one.
            self._fixed_work = self.work
            self._kept.clear()
            yield from self._choose_in_rank(group)

    def _fits(self, ordered: list[Candidate]) -> bool:
        """Whether all jobs can start in time, in the order of their latest start."""
        self.work = sum(candidate.work for candidate in ordered)
        before = 0.0
        for candidate in ordered:
            startable = self.curve.find_startable(candidate.latest_start_s)
            is_decided = candidate.may_refuse and not candidate.may_be_tried
            if is_decided and before + candidate.start_work > startable:
                return False
            before += candidate.work
        return True

    def _choose_in_rank(self, candidates: Iterable[Candidate]) -> Iterator[Refusal]:
        for number, candidate in enumerate(candidates):
            startable = self.curve.find_startable(candidate.latest_start_s)
            if not candidate.may_refuse:
                self._add_fixed(candidate)
            elif candidate.may_be_tried and (
                self._fixed_work + candidate.start_work > startable
            ):
                self._add_fixed(candidate)
            elif self._fixed_work + candidate.start_work > startable:
                yield self._refuse(candidate, RefusalReason.NO_CAPACITY, startable)
            else:
                self.work += candidate.work
                self._push(candidate, number)
                yield from self._make_room(candidate, startable)

    def _add_fixed(self, candidate: Candidate) -> None:
        self.work += candidate.work
        self._fixed_work += candidate.work

    def _make_room(self, candidate: Candidate, startable: float) -> Iterator[Refusal]:
        own_rest = candidate.work - candidate.start_work
        while self._kept and self.work - own_rest > startable:
            is_protected, *_, number, refused = heapq.heappop(self._kept)
            if not is_protected and self.shares.is_protected(refused.worth):
                # Other jobs of its route or class were refused since it was pushed.
                self._push(refused, number)
                continue
            yield self._refuse(refused, RefusalReason.LESS_WORTH, startable)
            self.work -= refused.work
            if refused is candidate:
                return

    def _push(self, candidate: Candidate, number: int) -> None:
        is_protected = self.shares.is_protected(candidate.worth)
        # Among equals, the one that has waited for the shortest time is refused.
        key = (is_protected, candidate.worth.per_core_s, -candidate.latest_start_s)
        heapq.heappush(self._kept, (*key, number, candidate))

    def _refuse(
        self, candidate: Candidate, reason: RefusalReason, startable: float
    ) -> Refusal:
        self.shares.record_loss(candidate.worth, self.curve.now_s)
        return Refusal(
            candidate=candidate,
            reason=reason,
            work=self.work,
            startable=startable,
            millicores=self.curve.millicores,
        )
