"""Greenlets that follow tables of the platform's store and write this host's rows."""

import logging
import time
from collections.abc import Callable, Iterable, Iterator
from random import Random

import gevent

from gentianhub.capacity.jobs import ListedTarget
from gentianhub.core import Mailbox, PlatformError, read_monotonic_s
from gentianhub.core.records import define, field
from gentianhub.host import messages as ms
from gentianhub.host.evacuations import EvacuationDecoder
from gentianhub.host.registry import (
    HOSTS_TABLE,
    LAYOUT_TABLE,
    HostEntry,
    decode_host,
    decode_layout,
    encode_host,
    encode_layout,
)
from gentianhub.platform.content import TargetDecoder, decode_target
from gentianhub.platform.fields import FieldError
from gentianhub.platform.settings import Address
from gentianhub.platform.store import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    TARGETS_TABLE,
    HistoryExpired,
    RowsRead,
    StoreClient,
    StoredRow,
    open_store,
)

# The store holds a feed request for at most 30 s. The shorter wait bounds how long a
# dead connection stays unnoticed, and so the delay of a new configuration.
FEED_WAIT_S = 1.0
# Hosts that are no candidates wait longer: if their connection is dead, a sibling that
# has the new configuration sends it.
FRONT_FEED_WAIT_S = 4.0
# The registry changes rarely, and hosts that dial are known without it.
HOSTS_FEED_WAIT_S = 5.0
# Targets rewrite their rows every 1.5 s; reading at each change would cost many calls,
# and 0.4 s is well within the 2 s that a leaving target allows. Hosts that own no cell
# need the list until the number of cells is known. From then on owners announce their
# targets, and a new owner reads the list at once.
OWNER_POLL_INTERVAL_S = 0.4
STARTING_POLL_INTERVAL_S = 2.0
NON_OWNER_POLL_INTERVAL_S = 20.0
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class TableFollower:
    """Keeps a copy of a table and reports each change of it.

    Parameters
    ----------
    report : callable
        Called with the rows, by key, after each change.
    get_wait_s : callable
        Returns how long the store may hold a request without a change, s.
    get_poll_interval_s : callable
        Returns the delay between two requests, s; 0 means no delay.
    polls : Mailbox
        A message to it ends the delay.
    has_to_repeat : callable
        Returns whether rows are reported although they have not changed.
    """

    table: str
    address: Address
    coordinator: Mailbox
    report: Callable[[dict[str, StoredRow]], None]
    get_wait_s: Callable[[], float]
    get_poll_interval_s: Callable[[], float] = lambda: 0.0
    polls: Mailbox = field(factory=lambda: Mailbox(limit=1))
    has_to_repeat: Callable[[dict[str, StoredRow]], bool] = lambda rows: False
    random: Random = field(factory=Random)
    sent_s: float = field(init=False, default=0.0)
    _rows: dict[str, StoredRow] = field(init=False, factory=dict)
    _version: int | None = field(init=False, default=None)
    _failures: int = field(init=False, default=0)

    @property
    def version(self) -> int:
        """Version of the store at which the rows were read; 0 if none were."""
        return self._version or 0

    def run(self) -> None:
        """Follow the table until killed."""
        with open_store(*self.address.as_host_and_port()) as store:
            while True:
                self._poll(store)
                self.polls.get(timeout_s=self._compute_delay_s())

    def _compute_delay_s(self) -> float:
        if not self._failures:
            return self.get_poll_interval_s()
        max_delay_s = min(
            MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2 ** min(self._failures, 6)
        )
        return self.random.uniform(max_delay_s / 2, max_delay_s)

    def _poll(self, store: StoreClient) -> None:
        try:
            self._read(store)
        except PlatformError as error:
            self._failures += 1
            if self._failures == 1:
                lost = ms.StoreLost(table=self.table, reason=str(error))
                self.coordinator.put(lost)
            return
        if self._failures:
            self._failures = 0
            self.coordinator.put(ms.StoreRegained(table=self.table))

    def _read(self, store: StoreClient) -> None:
        self.sent_s = read_monotonic_s()
        if self._version is None:
            read = store.read_rows(self.table)
            self._rows = {row.key: row for row in read.rows}
            self._version = read.version
            self.report(self._rows)
            return
        match store.follow_rows(self.table, self._version, self.get_wait_s()):
            case HistoryExpired():
                logger.info("change history expired", extra={"table": self.table})
                self._version = None
            case RowsRead(rows=rows, version=version):
                self._version = version
                self._apply(rows)

    def _apply(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.is_removed:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        if rows or self.has_to_repeat(self._rows):
            self.report(self._rows)


def follow_configuration(
    address: Address, coordinator: Mailbox, is_candidate: Callable[[], bool]
) -> None:
    """Report each new configuration of the operator, and the evacuations with it."""
    decoder = EvacuationDecoder()

    def report(rows: dict[str, StoredRow]) -> None:
        evacuations = decoder.decode(rows, follower.version)
        coordinator.put(ms.EvacuationsRead(evacuations=evacuations))
        row = rows.get(CONFIGURATION_KEY)
        if row is not None:
            coordinator.put(ms.ConfigurationRead(content=row.value))

    follower = TableFollower(
        table=OPERATOR_TABLE,
        address=address,
        coordinator=coordinator,
        report=report,
        get_wait_s=lambda: FEED_WAIT_S if is_candidate() else FRONT_FEED_WAIT_S,
    )
    follower.run()


def follow_hosts(address: Address, coordinator: Mailbox, name: str) -> None:
    """Report the registry of hosts whenever it changes.

    While the host `name` is missing from it, it is reported after each request: the
    command to write the host's row may have been lost.
    """
    decoded_hosts: dict[tuple[str, int], HostEntry | None] = {}

    def report(rows: dict[str, StoredRow]) -> None:
        current = {(row.key, row.version): row for row in rows.values()}
        for key in decoded_hosts.keys() - current.keys():
            del decoded_hosts[key]
        for key in current.keys() - decoded_hosts.keys():
            decoded_hosts[key] = _decode_host(current[key])
        hosts = tuple(host for host in decoded_hosts.values() if host is not None)
        versions = {row.key: row.version for row in rows.values()}
        coordinator.put(ms.HostsRead(hosts=hosts, versions=versions))

    TableFollower(
        table=HOSTS_TABLE,
        address=address,
        coordinator=coordinator,
        report=report,
        get_wait_s=lambda: HOSTS_FEED_WAIT_S,
        has_to_repeat=lambda rows: name not in rows,
    ).run()


def follow_targets(
    address: Address,
    coordinator: Mailbox,
    get_poll_interval_s: Callable[[], float],
    polls: Mailbox,
) -> None:
    """Report the list of targets whenever it changes."""
    decoded_targets: dict[tuple[str, int], object] = {}
    decoder = TargetDecoder()

    def report(rows: dict[str, StoredRow]) -> None:
        current = {(row.key, row.version) for row in rows.values()}
        for key in [key for key in decoded_targets if key not in current]:
            del decoded_targets[key]
        decoder.retain(rows)
        for row in rows.values():
            if (row.key, row.version) not in decoded_targets:
                decoded = list(decode_targets([(row.key, row.value)], decoder.decode))
                decoded_targets[(row.key, row.version)] = decoded
        targets = tuple(
            target for decoded in decoded_targets.values() for target in decoded
        )
        raw = tuple((row.key, row.value) for row in rows.values())
        read = ms.TargetsRead(targets=targets, rows=raw, sent_s=follower.sent_s)
        coordinator.put(read)

    follower = TableFollower(
        table=TARGETS_TABLE,
        address=address,
        coordinator=coordinator,
        report=report,
        get_wait_s=lambda: 0.0,
        get_poll_interval_s=get_poll_interval_s,
        polls=polls,
    )
    follower.run()


def choose_poll_interval_s(is_owner: bool, has_layout: bool) -> float:
    """Return the delay between two requests for the list of targets, s."""
    if is_owner:
        return OWNER_POLL_INTERVAL_S
    return NON_OWNER_POLL_INTERVAL_S if has_layout else STARTING_POLL_INTERVAL_S


def decode_targets(
    rows: Iterable[tuple[str, bytes]],
    decode: Callable[[str, bytes], ListedTarget] = decode_target,
) -> Iterator[ListedTarget]:
    """Yield the targets that rows describe; log and skip invalid rows."""
    for key, value in rows:
        try:
            yield decode(key, value)
        except FieldError as error:
            logger.warning(
                "invalid target row", extra={"id": key, "reason": str(error)}
            )


def _decode_host(row: StoredRow) -> HostEntry | None:
    """Return the host that a row describes; log an invalid row and return None."""
    try:
        return decode_host(row.value)
    except FieldError as error:
        logger.warning("invalid host row", extra={"id": row.key, "reason": str(error)})
        return None


def keep_register(
    entry: HostEntry, address: Address, commands: Mailbox, coordinator: Mailbox
) -> None:
    """Write this host's row, then execute the commands for the registry and layout."""
    with open_store(*address.as_host_and_port()) as store:
        _write_own_entry(store, entry)
        while True:
            match commands.get():
                case ms.RemoveHost(name=name, version=version):
                    _remove_row(store, name, version)
                case ms.RegisterHost():
                    _write_own_entry(store, entry)
                case ms.ResolveLayout() as layout:
                    _resolve_layout(store, layout, coordinator)


def _write_own_entry(store: StoreClient, entry: HostEntry) -> None:
    delay_s = INITIAL_RETRY_DELAY_S
    while True:
        try:
            store.write_row(HOSTS_TABLE, entry.name, encode_host(entry))
        except PlatformError as error:
            logger.warning("host not registered", extra={"reason": str(error)})
            gevent.sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
        else:
            logger.info("host registered", extra={"host": entry.name})
            return


def _resolve_layout(
    store: StoreClient, layout: ms.ResolveLayout, coordinator: Mailbox
) -> None:
    """Read or create the number of cells; the first host to write it decides."""
    try:
        if layout.cells is None:
            content = store.read_row(LAYOUT_TABLE, layout.data_centre)
        else:
            content = store.create_row(
                LAYOUT_TABLE, layout.data_centre, encode_layout(layout.cells)
            )
        if content is not None:
            coordinator.put(ms.LayoutRead(cells=decode_layout(content)))
    except (PlatformError, FieldError) as error:
        # The coordinator repeats the request until it knows the layout.
        logger.warning(
            "layout not read or written",
            extra={"id": layout.data_centre, "reason": str(error)},
        )


def _remove_row(store: StoreClient, name: str, version: int) -> None:
    try:
        removed = store.remove_row(HOSTS_TABLE, name, version)
    except PlatformError as error:
        logger.warning(
            "lost host not removed", extra={"host": name, "reason": str(error)}
        )
        return
    logger.info("lost host removed", extra={"host": name, "removed": removed})


def read_unix_ms() -> int:
    """Return the current Unix time, ms."""
    return round(time.time() * 1000)
