"""Orders to a target that have waited before they are sent.

An order waits in the queue of a target's connections, for a connection, or while the
process is paused. The owner counts the lease from its decision.
"""

import json
import unittest
from unittest import mock

from attrs import define, field

from gentianhub.capacity import events as ev
from gentianhub.capacity.answer_times import AnswerTimes
from gentianhub.capacity.leases import (
    CLOCK_DRIFT,
    LEASE_S,
    RENEWAL_WAIT_S,
    bound_lease_expiry,
)
from gentianhub.capacity.tests.builders import (
    SchedulerDriver,
    build_request,
    build_target,
    find_renewals,
    find_starts,
)
from gentianhub.platform import targets

DECIDED_S = 100.0
TARGET_CLOCK_MS = 5000


@define(kw_only=True)
class FakeResponse:
    status_code: int = 200

    def read(self) -> bytes:
        return b"{}"


@define(kw_only=True, eq=False)
class FakeConnection:
    """Stand-in for `HttpConnection`; `bodies` has what is sent."""

    connect: mock.Mock = field(factory=mock.Mock)
    reset: mock.Mock = field(factory=mock.Mock)
    error: Exception | None = None
    bodies: list[dict] = field(factory=list)

    def request(self, method, path, body, headers) -> FakeResponse:
        if self.error is not None:
            raise self.error
        self.bodies.append(json.loads(body))
        return FakeResponse()


class WaitingOrdersTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(targets, "read_monotonic_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.now_s = DECIDED_S
        self.driver = SchedulerDriver([build_target("t1")], owner_since_s=DECIDED_S)
        clock = targets.TargetClock(reading_ms=TARGET_CLOCK_MS, read_at_s=DECIDED_S)
        self.client = targets.TargetClient(
            target=build_target("t1"), clock=clock, answer_times=AnswerTimes()
        )
        self.connection = FakeConnection()
        self.client._connection = self.connection

    def convert_to_s(self, until_ms: int) -> float:
        """Return the monotonic time of a time on the target's clock."""
        return DECIDED_S + (until_ms - TARGET_CLOCK_MS) / 1000


class TestStarts(WaitingOrdersTest):
    """Guards against runs that outlive the lease that the owner has noted."""

    def setUp(self):
        super().setUp()
        (self.start,) = find_starts(self.driver.feed(build_request("a")))

    def test_a_start_that_has_waited_has_the_rest_of_its_lease(self):
        """The owner repeated tasks while their runs still had 0.3 s of lease."""
        self.now_s += 0.3
        self.client.start(self.start)
        (body,) = self.connection.bodies
        self.assertEqual(DECIDED_S + LEASE_S, self.convert_to_s(body["until_ms"]))
        noted_s = self.driver.scheduler.targets["t1"].lease_expiry_s
        self.assertLessEqual(self.convert_to_s(body["until_ms"]), noted_s)

    def test_a_start_that_has_waited_for_too_long_is_not_sent(self):
        """Its run could expire before the next renewal; other targets may be free."""
        self.now_s += LEASE_S - RENEWAL_WAIT_S
        answer = self.client.start(self.start)
        self.assertIs(ev.StartVerdict.NOT_SENT, answer.verdict)
        self.assertEqual([], self.connection.bodies)
        self.connection.connect.assert_not_called()

    def test_a_start_whose_connection_took_too_long_is_not_sent(self):
        def connect():
            self.now_s += LEASE_S - RENEWAL_WAIT_S

        self.connection.connect.side_effect = connect
        answer = self.client.start(self.start)
        self.assertIs(ev.StartVerdict.NOT_SENT, answer.verdict)
        self.assertEqual([], self.connection.bodies)

    def test_a_task_whose_start_has_waited_for_too_long_is_placed_again(self):
        self.driver.list_targets(build_target("t1"), build_target("t2"))
        self.driver.report("t2")
        self.now_s = self.driver.now_s = DECIDED_S + 0.4
        answer = self.client.start(self.start)
        (again,) = find_starts(self.driver.feed(answer))
        self.assertEqual((self.start.key, "t2"), (again.key, again.target.name))


class TestRenewals(WaitingOrdersTest):
    """Guards against leases that outlast what the owner has noted."""

    def setUp(self):
        super().setUp()
        self.renewal = find_renewals(self.driver.effects)[-1]

    def test_a_renewal_that_has_waited_ends_when_the_owner_expects(self):
        self.now_s += 0.3
        self.client.renew(self.renewal)
        (body,) = self.connection.bodies
        self.assertEqual(DECIDED_S + LEASE_S, self.convert_to_s(body["until_ms"]))

    def test_a_renewal_after_a_pause_of_the_process_revives_no_run(self):
        """A run lived on that the next owner, too, took as expired."""
        self.now_s = bound_lease_expiry(DECIDED_S)
        self.client.renew(self.renewal)
        (body,) = self.connection.bodies
        self.assertNotIn("until_ms", body)


class TestOldReadings(WaitingOrdersTest):
    """Guards against leases on the clock of a target that has not been read for long.

    An owner that wakes from a suspension may order something before it has read a new
    answer. The clock may have been slow since the last one.
    """

    AGE_S = 2.8

    def test_a_lease_on_a_slow_clock_ends_when_the_owner_expects(self):
        """It outlasted what the owner had noted by 26 ms."""
        self.now_s = self.driver.now_s = DECIDED_S + self.AGE_S
        (start,) = find_starts(self.driver.feed(build_request("a")))
        self.client.start(start)
        (body,) = self.connection.bodies
        remaining_s = (body["until_ms"] - TARGET_CLOCK_MS) / 1000
        expiry_s = DECIDED_S + remaining_s * (1 + CLOCK_DRIFT)
        noted_s = self.driver.scheduler.targets["t1"].lease_expiry_s
        self.assertLessEqual(expiry_s, noted_s)


class TestRestartedTargets(WaitingOrdersTest):
    """Guards against times on the clock of an earlier life of the target.

    They are far ahead of the clock of the new life, which grants its longest lease.
    """

    def setUp(self):
        super().setUp()
        (self.start,) = find_starts(self.driver.feed(build_request("a")))

    def test_no_start_is_sent_after_a_connection_broke_until_the_clock_is_known(self):
        self.client.clock.forget()
        answer = self.client.start(self.start)
        self.assertIs(ev.StartVerdict.NOT_SENT, answer.verdict)
        self.assertEqual([], self.connection.bodies)

    def test_no_start_is_sent_that_was_decided_before_a_connection_broke(self):
        """It reached the next life, of another kind, behind other orders."""
        self.now_s += 0.1
        self.client.clock.forget()
        self.client.clock.update(40)
        answer = self.client.start(self.start)
        self.assertIs(ev.StartVerdict.NOT_SENT, answer.verdict)
        self.assertEqual([], self.connection.bodies)

    def test_a_broken_connection_is_told_from_an_answer_that_is_only_late(self):
        renewal = find_renewals(self.driver.effects)[-1]
        for error, is_broken in (
            (ConnectionResetError(), True),
            (ConnectionRefusedError(), True),
            (TimeoutError(), False),
        ):
            with self.subTest(error):
                self.connection.error = error
                self.assertIs(is_broken, self.client.renew(renewal).is_broken)


if __name__ == "__main__":
    unittest.main()
