"""Greenlet that follows the platform's host list and table."""

import logging

import gevent
from attrs import define, field

from gentianhub.core import Mailbox, PlatformError, Table
from gentianhub.core.events import TableAdopted, TargetsSeen
from gentianhub.decisions.versions import apply_changes
from gentianhub.platform.client import PlatformClient, open_platform
from gentianhub.platform.rows import (
    CHANGE_PREFIX,
    build_change_key,
    decode_change,
    decode_targets,
)

POLL_PERIOD_S = 0.5

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class PlatformWatcher:
    """Reads the platform and tells the dispatcher what has changed."""

    data_centre: str
    dispatcher: Mailbox
    table: Table = field(factory=lambda: Table())
    _targets: tuple = field(init=False, default=())

    def poll(self, client: PlatformClient) -> None:
        """Read the host list and the table's newer changes once."""
        targets = decode_targets(client.read_hosts(), self.data_centre)
        rows = client.read_rows(CHANGE_PREFIX, build_change_key(self.table.version))
        table = apply_changes(self.table, (decode_change(row.value) for row in rows))
        if table.version > self.table.version:
            self.table = table
            self.dispatcher.put(TableAdopted(table=table))
        if targets != self._targets:
            self._targets = targets
            self.dispatcher.put(TargetsSeen(targets=targets))


def run_watcher(watcher: PlatformWatcher, host: str, port: int) -> None:
    """Poll the platform for ever; an outage leaves the last view in force."""
    with open_platform(host, port) as client:
        while True:
            try:
                watcher.poll(client)
            except PlatformError as error:
                logger.warning(
                    "platform not read: %s",
                    error.reason,
                    extra={"step": error.step.value, "peer": error.peer},
                )
            gevent.sleep(POLL_PERIOD_S)
