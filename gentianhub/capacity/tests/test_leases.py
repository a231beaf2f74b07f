"""The sum of times after which no run of a departed caller may exist."""

import unittest

from gentianhub.capacity.leases import (
    CALLER_RETURN_S,
    CONFIRMED_LEASE_S,
    DEPARTURE_DELAY_S,
    MAX_LEASE_S,
    STOP_S,
    choose_lease_s,
    describe_unmet_bounds,
)

# Delays of a real machine beside that of the network: a target that ends a run late and
# a caller that counts from another moment, s.
MIN_MARGIN_S = 0.1


class TestMargin(unittest.TestCase):
    """Guards against a lease and a stop that together last until callers come again.

    A departure that reached its front host 10 ms late was enough for two runs at once.
    """

    def test_a_late_departure_ends_a_run_before_its_caller_comes_again(self):
        latest_end_s = DEPARTURE_DELAY_S + CONFIRMED_LEASE_S + STOP_S
        self.assertLessEqual(latest_end_s, CALLER_RETURN_S)
        self.assertGreaterEqual(DEPARTURE_DELAY_S, MIN_MARGIN_S)

    def test_a_lease_ends_in_time_on_the_slowest_clock(self):
        for age_s in (0.0, 0.1, 0.3, 0.6, 0.8, 1.0):
            with self.subTest(age_s=age_s):
                lease_s = choose_lease_s(age_s)
                self.assertLessEqual(age_s + lease_s / 0.98, CONFIRMED_LEASE_S)


class TestBoundsOfThePlatform(unittest.TestCase):
    """Guards against a deployment whose callers come again before runs have ended."""

    def test_a_platform_with_other_bounds_is_told(self):
        met = (CALLER_RETURN_S, STOP_S, MAX_LEASE_S)
        self.assertEqual("", describe_unmet_bounds(*met))
        self.assertEqual("", describe_unmet_bounds(CALLER_RETURN_S + 1.0, 0.0, 0.9))
        self.assertIn("1.0 s", describe_unmet_bounds(1.0, STOP_S, MAX_LEASE_S))
        self.assertIn("0.2 s", describe_unmet_bounds(CALLER_RETURN_S, 0.2, MAX_LEASE_S))
        self.assertIn("2.0 s", describe_unmet_bounds(CALLER_RETURN_S, STOP_S, 2.0))


if __name__ == "__main__":
    unittest.main()
