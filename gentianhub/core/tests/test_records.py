"""Classes of `gentianhub.core.records` are those of attrs."""

import unittest

import attrs

from gentianhub.core import records


def build_classes(module) -> tuple[type, type]:
    """Return a frozen class and a mutable one, made by the decorators of a module."""

    @module.frozen(kw_only=True, order=True)
    class Point:
        x: int
        y: float = attrs.field(default=0.5, repr=lambda value: f"<{value}>")
        hidden: int = attrs.field(default=1, repr=False)

    @module.define(kw_only=True, eq=False)
    class Node:
        point: Point
        others: list = attrs.field(factory=list)
        unset: int = attrs.field(init=False)

        def __str__(self):
            return "node"

    return Point, Node


class RecordsTest(unittest.TestCase):
    """Guards against records that differ from attrs classes in more than their cost."""

    def describe(self, module) -> list[str]:
        Point, Node = build_classes(module)  # noqa: N806
        first, second = Point(x=1), Point(x=2, y=1.5)
        node = Node(point=first)
        node.others += [node, second]
        return [
            repr(first),
            repr(node),
            str(node),
            repr(first < second),
            repr(first == Point(x=1)),
            repr(hash(first) == hash(Point(x=1))),
            repr(node == Node(point=first)),
            repr(hasattr(node, "__dict__")),
            repr([field.name for field in attrs.fields(Node)]),
        ]

    def test_records_behave_like_attrs_classes(self):
        self.assertEqual(self.describe(attrs), self.describe(records))

    def test_an_own_repr_is_kept(self):
        @records.frozen(kw_only=True)
        class Named:
            name: str

            def __repr__(self):
                return self.name

        self.assertEqual("a", repr(Named(name="a")))


if __name__ == "__main__":
    unittest.main()
