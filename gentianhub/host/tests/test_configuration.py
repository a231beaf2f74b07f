"""Transfer of large configurations to hosts that cannot read the store.

With 1,330 routes and a third of the hosts cut off from the store, every host sent the
configuration with every heartbeat to every host that lacked it. Heartbeats waited
behind it, all owners were taken as lost at once, and the deployment did not recover.
"""

import json
import unittest
from unittest import mock

from gentianhub.capacity import events as ev
from gentianhub.host import encoding
from gentianhub.host.configuration import (
    REQUEST_DELAY_S,
    REQUEST_TIMEOUT_S,
    ConfigurationCache,
)
from gentianhub.linking.frames import MalformedMessage
from gentianhub.platform import content as platform_content


def build_configuration(version: int, routes: int = 1) -> bytes:
    rows = [
        {
            "name": f"queue-{number}",
            "host": f"host{number}.example",
            "prefix": f"/{number}/",
            "service": "order-desk",
            "timeout_ms": 4000 + version * (number == 0),
        }
        for number in range(routes)
    ]
    return json.dumps({"version": version, "routes": rows}).encode()


class TestRequests(unittest.TestCase):
    def setUp(self):
        self.cache = ConfigurationCache()
        self.cache.adopt(build_configuration(1), "store")

    def count_requests(self, seconds: float, peers: int = 12) -> int:
        """Count the requests while each peer sends a heartbeat every 0.2 s."""
        rounds = round(seconds / 0.2)
        return sum(
            self.cache.should_request(2, number * 0.2)
            for number in range(rounds)
            for _ in range(peers)
        )

    def test_one_host_at_a_time_is_asked(self):
        seconds = 3.0
        allowed = (seconds - REQUEST_DELAY_S) / REQUEST_TIMEOUT_S + 1
        self.assertLessEqual(self.count_requests(seconds), allowed)

    def test_a_host_that_can_read_the_store_asks_nobody(self):
        self.assertFalse(self.cache.should_request(2, 10.0))
        self.cache.adopt(build_configuration(2), "store")
        self.assertFalse(self.cache.should_request(2, 11.0))

    def test_another_host_is_asked_after_an_answer_was_lost(self):
        self.cache.should_request(2, 10.0)
        self.assertTrue(self.cache.should_request(2, 10.1 + REQUEST_DELAY_S))
        late_s = 10.2 + REQUEST_DELAY_S + REQUEST_TIMEOUT_S
        self.assertTrue(self.cache.should_request(2, late_s))

    def test_priorities_count_only_with_load_shedding(self):
        """Deployments that do not ask for it are served as before."""
        routes = [
            {"name": name, "host": "h", "prefix": "/", "service": "s", "priority": rank}
            for rank, name in enumerate("ab")
        ]
        content = json.dumps({"version": 2, "routes": routes}).encode()
        for sheds_load, priorities, rank in ((False, (), None), (True, (0, 1), 1)):
            cache = ConfigurationCache(sheds_load=sheds_load)
            cache.adopt(content, "store")
            self.assertEqual(priorities, cache.list_priorities())
            self.assertEqual(rank, cache.find_rank(cache.current.routes[1]))

    def test_a_host_without_a_configuration_asks_at_once(self):
        """It can serve no caller before."""
        self.assertTrue(ConfigurationCache().should_request(2, 10.0))

    def test_a_host_with_an_older_version_is_not_asked(self):
        self.assertFalse(self.cache.should_request(1, 10.0))


class TestSize(unittest.TestCase):
    def test_a_large_configuration_is_compressed(self):
        content = build_configuration(1, routes=1330)
        offer = ev.ConfigurationOffer(version=1, content=content)
        body = encoding.encode_message(offer)
        self.assertLess(len(body), len(content) / 5)
        self.assertEqual(offer, encoding.decode_message(body))

    def test_a_configuration_over_the_limit_is_refused(self):
        """A peer could otherwise exhaust the memory of a host."""
        offer = ev.ConfigurationOffer(version=1, content=b"0" * 1000)
        body = encoding.encode_message(offer)
        with mock.patch.object(encoding, "MAX_CONFIGURATION_BYTES", 999):
            self.assertIsInstance(encoding.decode_message(body), MalformedMessage)

    def test_only_changed_routes_are_decoded_again(self):
        """Decoding 1,330 routes held up the heartbeats of a small host by 0.25 s."""
        decoder = platform_content.ConfigurationDecoder()
        decoder.decode(build_configuration(1, routes=100))
        decode_route = platform_content._decode_route
        with mock.patch.object(
            platform_content, "_decode_route", side_effect=decode_route
        ) as decoded:
            second = decoder.decode(build_configuration(2, routes=100))
        self.assertEqual(1, decoded.call_count)
        self.assertEqual(
            platform_content.decode_configuration(build_configuration(2, routes=100)),
            second,
        )


if __name__ == "__main__":
    unittest.main()
