"""The adapter: fields that are broken, foreign or of another type say so."""

import json
import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity.jobs import TaskKey
from gentianhub.platform import callers, content, settings, targets
from gentianhub.platform.fields import FieldError

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/p/",
            "slo_ms": 60,
            "service": "s",
            "max_attempts": 3,
            "stretch": 1.6,
        },
        {"name": "r2", "host": "a.example", "prefix": "/p/q/", "service": "s"},
    ],
    "services": [{"name": "s", "admission_check": True}],
}
TARGET = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "olten",
    "state": "ready",
    "capacity": {"cpu": 64000, "mem_mb": 100},
    "labels": ["a", "r1-3"],
    "born": 17,
}
JOB = {"spec": "x", "best_effort": True, "phases": [{"count": 2, "cpu": 500}]}


def encode(value) -> bytes:
    return json.dumps(value).encode()


class TestConfiguration(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_selects_the_route(self):
        read = content.decode_configuration(encode(CONFIGURATION))
        self.assertEqual("r2", read.find_route("a.example", "/p/q/1").name)
        self.assertEqual("r1", read.find_route("a.example", "/p/1").name)
        self.assertIsNone(read.find_route("b.example", "/p/1"))

    def test_a_version_of_another_type_is_refused_with_its_name(self):
        with self.assertRaisesRegex(FieldError, "version"):
            content.decode_configuration(encode(CONFIGURATION | {"version": "7"}))

    def test_bytes_that_are_no_json_are_refused(self):
        for broken in (b"", b"\xff\xfe", b"[1]", b"[" * 100_000):
            with self.assertRaises(FieldError):
                content.decode_configuration(broken)


class TestTargets(unittest.TestCase):
    def test_an_entry_is_read_into_the_projects_terms(self):
        target = content.decode_target("i-1", encode(TARGET))
        self.assertEqual(("10.0.0.1", 80), target.port_pair)
        self.assertEqual(64000, target.capacity.cpu_millicores)
        self.assertFalse(target.is_leaving)

    def test_entries_of_other_writers_name_no_target(self):
        broken = [
            {"state": "unheard-of"},
            {"address": 5},
            {"capacity": []},
            {"labels": [1]},
            {"service": None},
        ]
        for change in broken:
            with self.subTest(change), self.assertRaises(FieldError):
                content.decode_target("i-1", encode(TARGET | change))

    def test_task_names_survive_the_wire(self):
        key = TaskKey(job="5c0e7a21d94b36f8", step=1, index=17)
        self.assertEqual(key, targets.decode_key(targets.encode_key(key)))
        for broken in ("", "a.b", None, "a.0.x.1"):
            with self.assertRaises(FieldError):
                targets.decode_key(broken)


class TestJobs(unittest.TestCase):
    def test_a_job_is_read_with_its_steps(self):
        job = callers.decode_job(encode(JOB))
        self.assertEqual(2, job.steps[0].count)
        self.assertEqual("", job.unsupported)

    def test_what_cannot_be_run_is_named(self):
        """Such a job is refused as not run instead of being run wrongly."""
        for change in ({"best_effort": False}, {"times": 3}):
            with self.subTest(change):
                self.assertTrue(callers.decode_job(encode(JOB | change)).unsupported)
        for name in callers.UNSUPPORTED_STEP_FIELDS:
            step = {"count": 1, name: 1}
            with self.subTest(name):
                job = callers.decode_job(encode(JOB | {"phases": [step]}))
                self.assertEqual(name, job.unsupported)

    def test_steps_that_make_no_sense_are_refused(self):
        broken = [[], [{"count": 0}], [{"after": [0]}], [{"count": 10**9}], ["x"]]
        for phases in broken:
            with self.subTest(phases), self.assertRaises(FieldError):
                callers.decode_job(encode(JOB | {"phases": phases}))

    def test_text_that_is_no_unicode_is_refused(self):
        """An escaped half of a surrogate pair ended the process when it was sent on."""
        with self.assertRaisesRegex(FieldError, "spec"):
            callers.decode_job(b'{"spec":"\\ud800","phases":[{"count":1}]}')

    def test_only_what_has_not_run_is_answered_as_not_run(self):
        """429, 503 and 404 tell a caller that the job never runs."""
        statuses = {
            verdict: callers.encode_answer(
                fx.AnswerCaller(reply_to=None, job="a", verdict=verdict, reason="")
            ).status
            for verdict in fx.JobVerdict
        }
        refused = {verdict for verdict, status in statuses.items() if status == 503}
        self.assertEqual({fx.JobVerdict.NOT_RUN}, refused)
        self.assertEqual(200, statuses[fx.JobVerdict.COMPLETED])


class TestNames(unittest.TestCase):
    def test_foreign_names_become_valid_and_stay_distinct(self):
        names = {settings.make_name(name) for name in ("Ab_1", "ab-1", "AB_1")}
        self.assertEqual(3, len(names))


if __name__ == "__main__":
    unittest.main()
