"""Tasks that crash each target that starts them, and the tasks that run beside them."""

import unittest

from gentianhub.capacity.tests.builders import build_key
from gentianhub.capacity.tests.crashing_targets import CrashingTargets

# Two crashes are needed to tell the task from its neighbours; the page of the users
# allows five starts.
MAX_CRASHES = 2


class TestCrashingTask(unittest.TestCase):
    """Guards against one task that crashes target after target."""

    def test_a_task_that_crashes_its_targets_is_given_up(self):
        """It was started again after each lease, up to its deadline."""
        cell = CrashingTargets(targets=8, deadly={build_key("deadly")})
        cell.submit("deadly", 1)
        cell.run(until_s=30.0)
        self.assertLessEqual(len(cell.crashes), MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()
