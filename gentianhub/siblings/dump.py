"""The siblings' part of the operators' state dump."""

from gentianhub.core.records import frozen
from gentianhub.decisions import membership as mb


@frozen(kw_only=True)
class LinkDescription:
    """One link; greetings are not included in the byte counts."""

    peer: str
    dialled_by: str
    is_live: bool
    silent_s: float
    queued_messages: int
    sent_bytes: int
    received_bytes: int
    refused_messages: int


@frozen(kw_only=True)
class SiblingsDescription:
    """State of the sibling manager, as shown to operators."""

    live: list[str]
    listed: list[str]
    pollers: list[str]
    is_poller: bool
    table_version: int
    open_forwards: int
    links: list[LinkDescription]


def describe_siblings(manager, now_s: float) -> SiblingsDescription:
    """Return a description of the manager's state."""
    live = sorted(manager.membership.find_live_incarnations(now_s))
    return SiblingsDescription(
        live=list(map(str, live)),
        listed=sorted(map(str, manager.membership.listed)),
        pollers=list(map(str, mb.select_pollers(live))),
        is_poller=manager.membership.is_poller(now_s),
        table_version=manager.table_sync.history.table.version,
        open_forwards=len(manager.forwards),
        links=[
            describe_link(state, manager.membership, now_s)
            for state in manager.links.values()
        ],
    )


def describe_link(state, membership: mb.Membership, now_s: float) -> LinkDescription:
    """Return a description of one link at a monotonic time in seconds."""
    link = state.link
    return LinkDescription(
        peer=str(link.incarnation),
        dialled_by=str(link.dialled_by),
        is_live=membership.is_live(link.incarnation, now_s),
        silent_s=round(now_s - state.last_received_s, 3),
        queued_messages=len(link.outgoing_queue),
        sent_bytes=link.sent_bytes,
        received_bytes=link.received_bytes,
        refused_messages=link.refused_messages,
    )
