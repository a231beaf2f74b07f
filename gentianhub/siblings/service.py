"""Starts the greenlets that communicate with the other entry processes."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer

from gentianhub.core import Incarnation, Mailbox, spawn_greenlet
from gentianhub.core.events import Tick
from gentianhub.decisions.membership import HEARTBEAT_PERIOD_S
from gentianhub.linking.links import LinkContext, accept_link
from gentianhub.settings import Endpoint
from gentianhub.siblings.manager import SiblingManager
from gentianhub.siblings.messages import Hello
from gentianhub.siblings.wire import build_codec

MAX_ACCEPTED_LINKS = 4096


@contextmanager
def open_sibling_links(
    *,
    own_incarnation: Incarnation,
    address: Endpoint,
    seeds: tuple[Endpoint, ...],
    mailbox: Mailbox,
    dispatcher: Mailbox,
    poller: Mailbox,
) -> Iterator[None]:
    """Run the listener, the manager and its timer while the context is open.

    Parameters
    ----------
    own_incarnation : Incarnation
        This process.
    address : Endpoint
        Address on which this process accepts links from siblings.
    seeds : tuple of Endpoint
        Addresses of siblings to connect to besides the listed ones, so that siblings
        are found while the platform does not answer.
    mailbox, dispatcher, poller : Mailbox
        The manager's own mailbox, and those to which it sends.
    """
    hello = Hello(
        sender=own_incarnation,
        started_ms=time.time_ns() // 1_000_000,
        host=address.host,
        port=address.port,
    )
    context = LinkContext(
        hello=hello,
        codec=build_codec(),
        manager_mailbox=mailbox,
        dispatcher_mailbox=dispatcher,
    )
    manager = SiblingManager(context=context, poller=poller, seeds=seeds)
    server = StreamServer(
        address.as_host_and_port(),
        lambda sock, _: accept_link(sock, context),
        spawn=Pool(MAX_ACCEPTED_LINKS),
        backlog=1024,
    )
    server.start()
    greenlets = [spawn_greenlet(manager.run), spawn_greenlet(run_heartbeats, mailbox)]
    try:
        yield
    finally:
        gevent.killall(greenlets)
        server.stop(timeout=0)


def run_heartbeats(mailbox: Mailbox) -> None:
    """Send a `Tick` each heartbeat period; drop it if the mailbox is full.

    Ticks are aligned to multiples of the period on the wall clock, so that the
    heartbeats of all siblings arrive together and wake a process once rather than
    once for each sibling.
    """
    while True:
        mailbox.try_put(Tick())
        gevent.sleep(HEARTBEAT_PERIOD_S - time.time() % HEARTBEAT_PERIOD_S)
