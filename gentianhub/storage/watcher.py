"""The greenlet that polls the platform's host list and table."""

import logging

from gentianhub.core import Mailbox, MailboxTimeout, PlatformError, Table
from gentianhub.core.events import TableAdopted, TargetsListed
from gentianhub.core.records import define, field
from gentianhub.decisions.membership import HostList
from gentianhub.decisions.propagation import ChangesRead, PollerRole
from gentianhub.storage.changes import read_latest
from gentianhub.storage.client import PlatformClient, open_platform
from gentianhub.storage.rows import decode_processes, decode_targets

POLL_PERIOD_S = 0.5

logger = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class PlatformPoller:
    """Reads the platform and reports changes to the dispatcher and the siblings.

    `poller_roles` receives whether this process is one of its data centre's pollers.
    """

    data_centre: str
    dispatcher: Mailbox
    siblings: Mailbox = field(factory=lambda: Mailbox(limit=1))
    poller_roles: Mailbox[PollerRole] = field(factory=lambda: Mailbox(limit=16))
    is_poller: bool = field(init=False, default=True)
    table: Table = field(factory=lambda: Table())
    _targets: tuple = field(init=False, default=())
    _hosts: dict | None = field(init=False, default=None)
    _host_list: HostList | None = field(init=False, default=None)

    def poll(self, client: PlatformClient) -> None:
        """Read the host list and the table's newer changes once."""
        self._read_hosts(client)
        read = read_latest(client, self.table)
        table = read.table
        if table.version > self.table.version:
            self.table = table
            self.siblings.put(ChangesRead(changes=read.changes, table=table))
            self.dispatcher.put(TableAdopted(table=table))

    def _read_hosts(self, client: PlatformClient) -> None:
        hosts = client.read_hosts(self.data_centre)
        if hosts is not self._hosts:
            self._hosts = hosts
            targets = decode_targets(hosts, self.data_centre)
            self._host_list = HostList(
                processes=decode_processes(hosts), targets=targets
            )
            if targets != self._targets:
                self._targets = targets
                self.dispatcher.put(TargetsListed(targets=targets))
        # Sent even if unchanged, because the sibling manager records the list's age.
        self.siblings.try_put(self._host_list)

    def wait_for_poller_role(self, timeout_s: float) -> None:
        """Wait for a `PollerRole`, at most `timeout_s` seconds."""
        match self.poller_roles.get(timeout_s):
            case PollerRole(is_poller=is_poller, table=table):
                self.is_poller = is_poller
                if table.version > self.table.version:
                    self.table = table
            case MailboxTimeout():
                return


def run_watcher(poller: PlatformPoller, host: str, port: int) -> None:
    """Poll the platform until killed; during an outage the last state remains."""
    with open_platform(host, port) as client:
        while True:
            try:
                if poller.is_poller:
                    poller.poll(client)
            except PlatformError as error:
                logger.warning(
                    "cannot read the platform: %s",
                    error.reason,
                    extra={"step": error.step.value, "peer": error.peer},
                )
            poller.wait_for_poller_role(POLL_PERIOD_S)
