"""Racing operators on a platform that loses replies."""

from unittest import mock

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from gentianhub.core import PlatformError, Table, TeamRow
from gentianhub.decisions.versions import apply_change, build_change
from gentianhub.storage.changes import (
    ChangeApplied,
    ChangeOutcomeUnknown,
    StaleVersion,
    read_latest_table,
    write_change,
)
from gentianhub.storage.rows import CHANGE_PREFIX, HEAD_KEY, decode_change
from gentianhub.storage.tests.fake_store import FakeStore, Fault

OPERATORS = 3
NAMES = st.sampled_from(["depot", "hospitals", "workshops"])
WEIGHTS = st.integers(1, 4).map(float)
FAULTS = st.lists(st.sampled_from(Fault), max_size=8)


class RacingOperators(RuleBasedStateMachine):
    """Guards against a lost, doubled or undone change.

    Faults hit any request of an edit, and a rival may write between an edit's
    reading of the head and its own write. Snapshots come every 3 changes.
    """

    @initialize()
    def begin(self):
        patch = mock.patch("gentianhub.decisions.versions.CHANGES_PER_SNAPSHOT", 3)
        patch.start()
        self.teardown = patch.stop
        self.store = FakeStore()
        self.tables = [Table()] * OPERATORS
        self.applied, self.not_written = set(), set()
        self.edits = 0

    def edit(self, operator, name, weight):
        """Write one team's row over the operator's view of the table."""
        self.edits += 1
        change_id = f"change-{self.edits}"
        base = self.tables[operator]
        team = TeamRow(name=name, weight=weight)
        content = evolve(base, teams={**base.teams, name: team})
        change = build_change(
            base, content, change_id=change_id, author="a", reason="r"
        )
        try:
            result = write_change(self.store, base, change)
        except PlatformError:
            self.not_written.add(change_id)
            return
        match result:
            case ChangeApplied(table=table):
                self.applied.add(change_id)
                self.adopt(operator, table)
                assert table.teams[name] == team
            case StaleVersion(base=expected, current=current):
                self.not_written.add(change_id)
                assert expected == base and current.version > base.version
                self.adopt(operator, current)
            case ChangeOutcomeUnknown():
                pass

    def adopt(self, operator, table):
        assert table.version >= self.tables[operator].version
        self.tables[operator] = table

    @rule(operator=st.integers(0, OPERATORS - 1), name=NAMES, weight=WEIGHTS)
    def edit_undisturbed(self, operator, name, weight):
        self.edit(operator, name, weight)

    @rule(name=NAMES, weight=WEIGHTS, faults=FAULTS, has_rival=st.booleans())
    def edit_with_faults(self, name, weight, faults, has_rival):
        self.store.faults = faults
        if has_rival:
            self.store.before_write = lambda: self.edit(1, name, weight + 1)
        self.edit(0, name, weight)
        self.store.faults = []
        self.store.before_write = None

    @rule(operator=st.integers(0, OPERATORS - 1))
    def read(self, operator):
        newer = read_latest_table(self.store, self.tables[operator])
        self.adopt(operator, newer)

    @rule()
    def land_late_writes(self):
        self.store.land_late_writes()

    @invariant()
    def versions_form_one_chain(self):
        rows = [key for key in sorted(self.store.rows) if key.startswith(CHANGE_PREFIX)]
        changes = [decode_change(self.store.rows[key][1]) for key in rows]
        versions = [change.version for change in changes]
        assert versions == list(range(1, len(changes) + 1))
        head = self.store.rows.get(HEAD_KEY, (0, {"version": 0}))[1]["version"]
        assert head == len(changes)
        ids = [change.change_id for change in changes]
        assert len(set(ids)) == len(ids)
        assert self.applied <= set(ids)
        assert not self.not_written & set(ids)
        history = [Table()]
        for change in changes:
            history.append(apply_change(history[-1], change))
        for table in self.tables:
            assert table == history[table.version]
        new_reader = FakeStore(rows=self.store.rows)
        assert read_latest_table(new_reader, Table()) == history[-1]
        assert new_reader.reads <= 3


RacingOperators.TestCase.settings = settings(
    max_examples=150, stateful_step_count=20, deadline=None, derandomize=True
)
TestRacingOperators = RacingOperators.TestCase
