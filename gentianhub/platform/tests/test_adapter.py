"""Decoding of the platform's formats, and errors for invalid fields."""

import json
import unittest

from gentianhub.capacity import effects as fx
from gentianhub.capacity.jobs import TaskKey
from gentianhub.platform import callers, content, settings, targets
from gentianhub.platform.fields import FieldError, read_field

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
        """Guards against jobs routed by a shorter prefix or by another host."""
        read = content.decode_configuration(encode(CONFIGURATION))
        self.assertEqual("r2", read.find_route("a.example", "/p/q/1").name)
        self.assertEqual("r1", read.find_route("a.example", "/p/1").name)
        self.assertIsNone(read.find_route("b.example", "/p/1"))

    def test_version_of_another_type_is_rejected_with_the_field_name(self):
        with self.assertRaisesRegex(FieldError, "version"):
            content.decode_configuration(encode(CONFIGURATION | {"version": "7"}))

    def test_bytes_that_are_not_a_json_object_are_rejected(self):
        """Any other exception than `FieldError` would end the host."""
        for broken in (b"", b"\xff\xfe", b"[1]", b"[" * 100_000):
            with self.assertRaises(FieldError):
                content.decode_configuration(broken)

    def test_values_out_of_range_are_rejected(self):
        """A huge objective ended each host at the next job of its route."""
        odd = self.find_odd_routes()
        for field, route in odd.items():
            changed = CONFIGURATION | {"routes": [route]}
            with self.subTest(field), self.assertLogs(content.logger) as logs:
                read = content.decode_configuration(encode(changed))
                self.assertEqual((), read.routes)
                self.assertIn(field, logs.records[0].reason)

    def test_an_odd_route_stays_as_it_was_and_holds_up_no_other_change(self):
        """One odd route would keep all later versions from coming into force."""
        decoder = content.ConfigurationDecoder()
        before = decoder.decode(encode(CONFIGURATION)).routes[0]
        for field, route in self.find_odd_routes().items():
            new = CONFIGURATION["routes"][1] | {"name": "r3"}
            changed = CONFIGURATION | {"version": 8, "routes": [route, new]}
            with self.subTest(field), self.assertLogs(content.logger):
                routes = decoder.decode(encode(changed)).routes
                self.assertEqual(before, routes[0])
                self.assertEqual(["r1", "r3"], [route.name for route in routes])

    def test_a_route_without_a_usable_name_is_left_out(self):
        for row in (5, {}, {"name": ["r1"]}):
            changed = CONFIGURATION | {"routes": [row, CONFIGURATION["routes"][0]]}
            with self.subTest(row), self.assertLogs(content.logger):
                read = content.decode_configuration(encode(changed))
                self.assertEqual(["r1"], [route.name for route in read.routes])

    def find_odd_routes(self) -> dict[str, dict]:
        broken = {
            "slo_ms": 10**400,
            "timeout_ms": -1,
            "stretch": 1e300,
            "max_attempts": 0,
            "priority": 2**40,
        }
        known = CONFIGURATION["routes"][0]
        return {field: known | {field: value} for field, value in broken.items()}


class TestTargets(unittest.TestCase):
    def test_entry_is_decoded_to_a_listed_target(self):
        target = content.decode_target("i-1", encode(TARGET))
        self.assertEqual(("10.0.0.1", 80), target.address)
        self.assertEqual(64000, target.capacity.cpu_millicores)
        self.assertFalse(target.is_leaving)

    def test_invalid_entries_are_rejected(self):
        """Guards against a target that is listed from an entry of another writer."""
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

    def test_values_out_of_range_are_rejected(self):
        """Each of them ended the process or the greenlet that used it later."""
        broken = {
            "port": {"address": "10.0.0.1:65536"},
            "IP:PORT": {"address": "10.0.0.1:\u00b2"},
            "IPv4": {"address": "name:80"},
            "cpu": {"capacity": {"cpu": 10**400}},
            "mem_mb": {"capacity": {"mem_mb": -1}},
            "gpu": {"capacity": {"gpu": 2**31}},
            "born": {"born": 2**60},
        }
        for field, change in broken.items():
            with self.subTest(change), self.assertRaisesRegex(FieldError, field):
                content.decode_target("i-1", encode(TARGET | change))

    def test_names_that_cannot_be_sent_in_a_header_are_rejected(self):
        for name in ("", "i 1", "i\r\n", "\u00e9", "i" * 201):
            with self.subTest(name), self.assertRaisesRegex(FieldError, "name"):
                content.decode_target(name, encode(TARGET))

    def test_deeply_nested_values_are_rejected(self):
        """Comparing or describing them exceeded the recursion limit."""
        for depth in (40, 500, 900):
            nested = "[" * depth + "]" * depth
            row = f'{{"born": {nested}}}'.encode()
            with self.subTest(depth), self.assertRaisesRegex(FieldError, "nesting"):
                content.decode_target("i-1", row)

    def test_numbers_that_are_not_finite_are_rejected(self):
        for text in ("NaN", "Infinity", "1e999", "9" * 400):
            with self.subTest(text), self.assertRaisesRegex(FieldError, "x: expected"):
                read_field(json.loads(f'{{"x": {text}}}'), "x", float)

    def test_task_names_decode_to_the_encoded_key(self):
        key = TaskKey(job="5c0e7a21d94b36f8", step=1, index=17)
        self.assertEqual(key, targets.decode_key(targets.encode_key(key)))
        for broken in ("", "a.b", None, "a.0.x.1"):
            with self.assertRaises(FieldError):
                targets.decode_key(broken)

    def test_odd_rows_in_the_answer_of_a_target_are_rejected(self):
        """The greenlet of its renewals ended, and the target was never used again."""
        for text in ("-1e999", "NaN", '"5"', "[[]]"):
            row = json.loads(f'["a.0.0.0", 1, "", {text}]')
            with self.subTest(text), self.assertRaises(FieldError):
                targets.decode_running(row)
        for text, percent in (("1e999", 100), ("9" * 400, 100), ("-5", 0)):
            row = json.loads(f'["a.0.0.0", 1, "", {text}]')
            with self.subTest(text):
                self.assertEqual(percent, targets.decode_running(row).percent)

    def test_names_of_tasks_that_cannot_be_sent_to_hosts_are_rejected(self):
        """A lone surrogate ends the process when it is encoded for another host."""
        for name in ("\ud800.0.0.0", "a b.0.0.0", f"a.0.0.{10**30}", "a" * 300):
            with self.subTest(name), self.assertRaises(FieldError):
                targets.decode_key(name)


class TestJobs(unittest.TestCase):
    def test_job_is_decoded_with_its_steps(self):
        job = callers.decode_job(encode(JOB))
        self.assertEqual(2, job.steps[0].count)
        self.assertEqual("", job.unsupported)

    def test_unsupported_fields_are_reported(self):
        """Such a job must be refused as not run instead of being run incorrectly."""
        for change in ({"best_effort": False}, {"times": 3}):
            with self.subTest(change):
                self.assertTrue(callers.decode_job(encode(JOB | change)).unsupported)
        for name in callers.UNSUPPORTED_STEP_FIELDS:
            step = {"count": 1, name: 1}
            with self.subTest(name):
                job = callers.decode_job(encode(JOB | {"phases": [step]}))
                self.assertEqual(name, job.unsupported)

    def test_invalid_steps_are_rejected(self):
        broken = [[], [{"count": 0}], [{"after": [0]}], [{"count": 10**9}], ["x"]]
        for phases in broken:
            with self.subTest(phases), self.assertRaises(FieldError):
                callers.decode_job(encode(JOB | {"phases": phases}))

    def test_steps_with_values_out_of_range_are_rejected(self):
        broken = [
            [{"count": 1, "cpu": -1}],
            [{"count": 1, "cpu": 10**400}],
            [{"count": 1, "estimate_ms": 1e300}],
            [{"count": 1, "max_per_server": -1}],
            [{"count": 10_000}, {"count": 1}],
        ]
        for phases in broken:
            with self.subTest(phases), self.assertRaises(FieldError):
                callers.decode_job(encode(JOB | {"phases": phases}))

    def test_lone_surrogates_are_rejected(self):
        """An escaped lone surrogate ended the process when the job was sent on."""
        with self.assertRaisesRegex(FieldError, "spec"):
            callers.decode_job(b'{"spec":"\\ud800","phases":[{"count":1}]}')

    def test_only_jobs_that_have_not_run_are_answered_as_not_run(self):
        """Status 429, 503 or 404 tells a caller that the job never runs."""
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
    def test_normalized_names_stay_distinct(self):
        """Names that differ only in invalid characters must not become equal."""
        names = {settings.normalize_name(name) for name in ("Ab_1", "ab-1", "AB_1")}
        self.assertEqual(3, len(names))


if __name__ == "__main__":
    unittest.main()
