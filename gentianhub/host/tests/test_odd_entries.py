"""A host goes on, and follows the tables, while another writer leaves odd entries."""

import json
import unittest

import gevent

from gentianhub.host.registry import HOSTS_TABLE
from gentianhub.host.tests.host_processes import CONFIGURATION, HostProcessesTest

# Longer than a host takes to read a changed table.
READING_S = 0.6
# Python's parser accepts nesting up to its recursion limit, which is 1,000.
DEEP = "[" * 900 + "]" * 900
VERY_DEEP = "[" * 100_000 + "]" * 100_000
HUGE = "9" * 400
VERY_HUGE = "9" * 5000

TARGET = {
    "service": '"desk"',
    "address": '"127.0.0.1:9"',
    "zone": '"olten"',
    "state": '"ready"',
    "born": "1",
    "capacity": '{"cpu": 64000, "mem_mb": 4096}',
    "labels": "[]",
}
HOST = {
    "data_centre": '"olten"',
    "name": '"odd"',
    "address": '"127.0.3.12"',
    "port": "9",
    "started_ms": "1",
    "cores": "1.0",
}
ODD_TARGETS = [
    {"address": '"127.0.0.1:99999"'},
    {"address": '"127.0.0.1:0"'},
    {"address": '"127.0.0.1:\\u00b2"'},
    {"address": f'"127.0.0.1:{VERY_HUGE}"'},
    {"address": '"no host:80"'},
    {"address": DEEP},
    {"capacity": f'{{"cpu": {HUGE}}}'},
    {"capacity": '{"cpu": 1e999}'},
    {"capacity": '{"cpu": -64000}'},
    {"capacity": f'{{"cpu": {DEEP}}}'},
    {"labels": DEEP},
    {"born": HUGE},
    {"born": VERY_HUGE},
    {"other": VERY_DEEP},
    {"zone": '"\\ud800"'},
]
ODD_HOSTS = [
    {"port": "99999"},
    {"port": "-1"},
    {"port": HUGE},
    {"address": '"no host"'},
    {"data_centre": '"NOT A NAME"'},
    {"name": '""'},
    {"cores": "NaN"},
    {"cores": HUGE},
    {"started_ms": HUGE},
    {"name": DEEP},
]
ODD_ROUTES = [
    {"slo_ms": HUGE},
    {"slo_ms": "NaN"},
    {"stretch": "1e999"},
    {"timeout_ms": "1e300"},
    {"max_attempts": "0"},
    {"priority": HUGE},
    {"advice": DEEP},
    {"other": DEEP},
]


def encode(fields: dict[str, str]) -> bytes:
    """Return a JSON object from encoded values, which may be out of Python's range."""
    return ("{" + ",".join(f'"{k}": {v}' for k, v in fields.items()) + "}").encode()


class TestOddEntries(HostProcessesTest):
    """Guards against hosts that end again and again, or stop following a table."""

    def check_is_served(self, number: int) -> None:
        gevent.sleep(READING_S)
        (process,) = self.processes
        (log,) = self.logs.values()
        self.assertIsNone(process.poll(), log.read_text()[-3000:])
        self.assertEqual(200, self.submit(number))

    def check_list_is_followed(self) -> None:
        """The last good target leaves, and another one is used."""
        for target, state in ((0, "draining"), (1, "ready")):
            self.register_target(target, state)
        gevent.sleep(READING_S)
        before = len(self.targets[0].records)
        self.assertEqual(200, self.submit(900))
        self.assertEqual(before, len(self.targets[0].records))

    def test_odd_entries_among_the_targets(self):
        for number, change in enumerate(ODD_TARGETS):
            self.store.put("servers", f"odd-{number}", encode(TARGET | change))
            with self.subTest(str(change)[:80]):
                self.check_is_served(number)
        self.store.put("servers", "odd\r\nname", encode(TARGET))
        self.check_is_served(100)
        self.check_list_is_followed()

    def test_odd_entries_among_the_hosts(self):
        for number, change in enumerate(ODD_HOSTS):
            self.store.put(HOSTS_TABLE, f"odd-{number}", encode(HOST | change))
            with self.subTest(str(change)[:80]):
                self.check_is_served(number)

    def test_odd_configurations(self):
        (route,) = CONFIGURATION["routes"]
        values = {name: json.dumps(value) for name, value in route.items()}
        for number, change in enumerate(ODD_ROUTES):
            routes = encode(values | change).decode()
            content = {"version": str(10 + number), "routes": f"[{routes}]"}
            self.store.put("op", "config", encode(content))
            with self.subTest(str(change)[:80]):
                self.check_is_served(number)
        followed = CONFIGURATION | {"version": 50, "routes": []}
        self.store.put("op", "config", json.dumps(followed).encode())
        gevent.sleep(READING_S)
        self.assertEqual(404, self.submit(100))


if __name__ == "__main__":
    unittest.main()
