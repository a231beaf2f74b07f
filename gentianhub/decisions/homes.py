"""Home of each target: the entry process that lends its slots.

Rendezvous hashing needs no coordination and reassigns only the targets of a process
that joins or leaves.
"""

from xxhash import xxh3_64_intdigest

from gentianhub.core import Incarnation
from gentianhub.core.records import define, field, frozen


@define(kw_only=True, eq=False)
class Homes:
    """The live entry processes of the data centre and the targets they lend.

    Parameters
    ----------
    owner : Incarnation
        This process.
    processes : tuple of Incarnation
        The live processes; the only process is home of every target.

    Attributes
    ----------
    others : frozenset of Incarnation
        The live processes other than this one.
    """

    owner: Incarnation
    processes: tuple[Incarnation, ...] = ()
    others: frozenset[Incarnation] = field(init=False)
    _cache: dict[str, Incarnation] = field(init=False, factory=dict)

    def __attrs_post_init__(self):
        self.others = frozenset(self.processes) - {self.owner}

    def find_home(self, target: str) -> Incarnation:
        """Return the process that lends the slots of a target."""
        home = self._cache.get(target)
        if home is None:
            candidates = {self.owner, *self.processes}
            home = max(candidates, key=lambda process: rank_home(process, target))
            self._cache[target] = home
        return home


@frozen(kw_only=True, order=True)
class HomeRank:
    """Rank of a process for a target; the incarnation breaks ties."""

    score: int
    process: Incarnation


def rank_home(process: Incarnation, target: str) -> HomeRank:
    """Return the rank of a process for a target.

    The score depends on the name alone, so that a restarted process is home of
    the same targets as before.
    """
    score = xxh3_64_intdigest(f"{process.name}/{target}".encode())
    return HomeRank(score=score, process=process)
