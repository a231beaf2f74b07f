"""The client of the store, without a network."""

import json
import unittest
from urllib.parse import parse_qs, urlsplit

from attrs import frozen

from gentianhub.platform.store import StoreClient


@frozen(kw_only=True)
class PageResponse:
    """A response with a page of rows."""

    content: dict
    status_code: int = 200

    def read(self) -> bytes:
        return json.dumps(self.content).encode()


class PagedConnection:
    """Returns a table of two rows in two pages; it changes between them."""

    def request(self, method, request_target, body, headers):
        is_first = "from" not in parse_qs(urlsplit(request_target).query)
        rows = [{"key": "config" if is_first else "evacuate/olten", "ver": 3}]
        version = 7 if is_first else 9
        return PageResponse(
            content={"rows": rows, "ver": version, "has_more": is_first}
        )


class TestPages(unittest.TestCase):
    def test_a_table_has_the_version_of_its_first_page(self):
        """A row written to the first page before the second was read would be missed
        until it changes again."""
        store = StoreClient(peer="store", connection=PagedConnection())
        read = store.read_rows("op")
        self.assertEqual(["config", "evacuate/olten"], [row.key for row in read.rows])
        self.assertEqual(7, read.version)


if __name__ == "__main__":
    unittest.main()
