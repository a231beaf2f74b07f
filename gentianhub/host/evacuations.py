"""Evacuations in the operator's table, and the log lines about them."""

from collections.abc import Iterable, Mapping

from gentianhub.capacity.evacuations import Evacuations, KnownEvacuations
from gentianhub.capacity.jobs import ListedTarget
from gentianhub.core import ProcessName
from gentianhub.core.records import define, field
from gentianhub.host.decision_log import log_decision
from gentianhub.host.metrics import HostMetrics
from gentianhub.platform.settings import normalize_name
from gentianhub.platform.store import EVACUATION_PREFIX, StoredRow


@define(kw_only=True, eq=False)
class EvacuationDecoder:
    """Decodes evacuations; logs each malformed key once while it is stored."""

    _malformed: set[str] = field(init=False, factory=set)

    def decode(self, rows: Mapping[str, StoredRow], version: int) -> Evacuations:
        """Return the evacuations in the operator's rows, read at a version.

        The values of the rows do not matter. Rows without a name are skipped.
        """
        keys = [key for key in rows if key.startswith(EVACUATION_PREFIX)]
        zones = {key: key.removeprefix(EVACUATION_PREFIX) for key in keys}
        malformed = {key for key, zone in zones.items() if not zone.strip()}
        for key in malformed - self._malformed:
            log_decision("evacuation not usable", key, reason="no data centre is named")
        self._malformed = malformed
        names = (normalize_name(zones[key]) for key in zones.keys() - malformed)
        return Evacuations(version=version, data_centres=frozenset(names))


@define(kw_only=True, eq=False)
class HostEvacuations:
    """The evacuations that a host knows of; logs and counts their changes."""

    known: KnownEvacuations
    metrics: HostMetrics
    _unknown: frozenset[str] = field(init=False, default=frozenset())

    def adopt(self, evacuations: Evacuations, source: str) -> bool:
        """Keep a newer state; return whether an evacuation has begun or ended."""
        if evacuations.version <= self.known.current.version:
            return False
        changes = self.known.adopt(evacuations)
        for data_centre in sorted(changes.begun):
            _log_change("evacuation adopted", data_centre, source, evacuations)
        for data_centre in sorted(changes.ended):
            _log_change("evacuation ended", data_centre, source, evacuations)
        self.metrics.evacuations = len(self.known.current.data_centres)
        return bool(changes)

    def log_unknown(
        self, hosts: Iterable[ProcessName], targets: Iterable[ListedTarget]
    ) -> None:
        """Log once the evacuated data centres of which no host or target is known.

        They have no effect until a host or a target of the name appears.
        """
        evacuated = self.known.current.data_centres
        if not evacuated:
            return
        present = {host.data_centre for host in hosts}
        present |= {target.data_centre for target in targets}
        for data_centre in sorted(evacuated - present - self._unknown):
            log_decision("evacuation of an unknown data centre", data_centre)
        self._unknown = evacuated - present


def _log_change(
    decision: str, data_centre: str, source: str, evacuations: Evacuations
) -> None:
    log_decision(decision, data_centre, source=source, version=evacuations.version)
