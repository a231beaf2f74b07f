"""Serialisation of the journal's objects and of its index row on the platform."""

import cattrs.preconf.json
from cattrs.strategies import configure_tagged_union

from gentianhub.core import Incarnation, JobAnswer, TaskOutcome
from gentianhub.core.records import frozen

JOURNAL_PREFIX = "journal/"

_converter = cattrs.preconf.json.make_converter()
configure_tagged_union(TaskOutcome, _converter)
configure_tagged_union(JobAnswer, _converter)


@frozen(kw_only=True)
class JournalBatch:
    """One object of the journal: finished answers by job sequence number."""

    number: int
    answers: dict[int, JobAnswer]


@frozen(kw_only=True)
class BatchRange:
    """Index entry: a batch with its lowest and highest job sequence numbers."""

    number: int
    lowest: int
    highest: int


@frozen(kw_only=True)
class JournalIndex:
    """The newest batches of one incarnation, oldest first."""

    batches: tuple[BatchRange, ...] = ()


def build_index_key(owner: Incarnation) -> str:
    """Return the key of the row that lists an incarnation's batches."""
    return f"{JOURNAL_PREFIX}{owner.name}/{owner.token}"


def build_batch_name(owner: Incarnation, number: int) -> str:
    """Return the name of the object that holds a batch."""
    return f"{build_index_key(owner)}/{number}"


def encode_batch(batch: JournalBatch) -> bytes:
    """Serialise a batch as the content of an object."""
    return _converter.dumps(batch, JournalBatch).encode()


def decode_batch(content: bytes) -> JournalBatch:
    """Deserialise a batch from the content of an object."""
    return _converter.loads(content, JournalBatch)


def encode_index(index: JournalIndex) -> dict:
    """Convert an index to JSON content."""
    return _converter.unstructure(index)


def decode_index(content: dict) -> JournalIndex:
    """Convert JSON content to an index."""
    return _converter.structure(content, JournalIndex)
