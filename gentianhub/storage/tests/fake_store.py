"""In-memory table service and object store that injects faults into requests."""

import copy
import enum
from collections.abc import Callable

from attrs import define, field

from gentianhub.core import PlatformError, Step
from gentianhub.storage import Conflict, VersionedRow


class Fault(enum.Enum):
    NONE = "none"
    #: The request fails without effect.
    FAILED = "failed"
    #: The write is applied, but its reply is lost.
    LOST = "lost"
    #: The reply is lost, and the write is applied at the next read.
    LATE = "late"


@define(kw_only=True, eq=False)
class FakeStore:
    """Uses one of `faults` for each request.

    `before_write` runs once, before the next write, as a concurrent writer.
    """

    peer: str = "fake"
    rows: dict[str, tuple[int, object]] = field(factory=dict)
    objects: dict[str, bytes] = field(factory=dict)
    faults: list[Fault] = field(factory=list)
    before_write: Callable[[], None] | None = None
    on_request: Callable[[], None] = lambda: None
    reads: int = 0
    writes: int = 0
    entry_processes: int = 1
    _delayed_writes: list = field(factory=list)

    def land_late_writes(self) -> None:
        late, self._delayed_writes = self._delayed_writes, []
        for write in late:
            write()

    def _pop_fault(self) -> Fault:
        self.on_request()
        return self.faults.pop(0) if self.faults else Fault.NONE

    def _read(self, result):
        self.reads += 1
        fault = self._pop_fault()
        self.land_late_writes()
        if fault is not Fault.NONE:
            raise PlatformError(step=Step.READ_PLATFORM, peer=self.peer, reason="down")
        return copy.deepcopy(result())

    def _write(self, apply):
        self.writes += 1
        concurrent_writer, self.before_write = self.before_write, None
        if concurrent_writer is not None:
            concurrent_writer()
        match self._pop_fault():
            case Fault.NONE:
                return apply()
            case Fault.LOST:
                apply()
            case Fault.LATE:
                self._delayed_writes.append(apply)
        raise PlatformError(step=Step.WRITE_PLATFORM, peer=self.peer, reason="down")

    def _get_row(self, key: str) -> VersionedRow:
        version, value = self.rows[key]
        return VersionedRow(key=key, version=version, value=value)

    def read_keys(self, keys):
        return self._read(lambda: tuple(map(self._get_row, filter(self._has, keys))))

    def _has(self, key: str) -> bool:
        return key in self.rows

    def read_rows(self, prefix, after="", limit=0):
        def read():
            keys = [key for key in sorted(self.rows) if key.startswith(prefix)]
            newer = [key for key in keys if key > after]
            return tuple(self._get_row(key) for key in newer[: limit or None])

        return self._read(read)

    def read_hosts(self, data_centre=""):
        return self._read(lambda: {"entry_processes": [{}] * self.entry_processes})

    def read_object(self, name):
        return self._read(lambda: self.objects.get(name))

    def write_rows(self, rows, expected):
        def write():
            for key, version in expected.items():
                if self.rows.get(key, (0, None))[0] != version:
                    return Conflict(reason=key)
            for key, value in rows.items():
                version = self.rows.get(key, (0, None))[0]
                self.rows[key] = (version + 1, copy.deepcopy(value))

        return self._write(write)

    def write_object(self, name, content):
        def write():
            assert self.objects.setdefault(name, content) == content, name

        return self._write(write)
