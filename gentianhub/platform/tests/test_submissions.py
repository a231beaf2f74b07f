"""Submissions of callers that are larger than any job."""

import unittest
from unittest import mock

from gentianhub.platform import callers
from gentianhub.platform.fields import FieldError


class SubmissionTest(unittest.TestCase):
    """Guards against bodies within their limit that keep a host busy."""

    def test_too_many_steps_are_refused_before_they_are_decoded(self):
        """87,000 steps fit a body of 256 KiB; decoding them took 0.8 s and 22 MB."""
        steps = b",".join([b"{}"] * (callers.MAX_TASKS + 1))
        body = b'{"spec": "x", "best_effort": true, "phases": [%b]}' % steps
        decode_step = mock.Mock(side_effect=AssertionError("a step was decoded"))
        with (
            mock.patch.object(callers, "_decode_step", decode_step),
            self.assertRaises(FieldError),
        ):
            callers.decode_job(body)

    def test_a_job_with_the_most_steps_is_accepted(self):
        steps = b",".join([b"{}"] * callers.MAX_TASKS)
        body = b'{"spec": "x", "best_effort": true, "phases": [%b]}' % steps
        self.assertEqual(callers.MAX_TASKS, len(callers.decode_job(body).steps))


if __name__ == "__main__":
    unittest.main()
