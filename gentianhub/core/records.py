"""Decorators for attrs classes that take less time at import.

attrs compiles the methods of each class. A third of that time goes to `__repr__`, which
is seldom called; here all classes share one. They are otherwise those of attrs.
"""

from collections.abc import Callable
from functools import partial
from reprlib import recursive_repr
from typing import Any, TypeVar

import attrs
from attrs import Factory, evolve, field

__all__ = ["Factory", "define", "evolve", "field", "frozen"]

T = TypeVar("T")


@recursive_repr()
def _describe_record(record: Any) -> str:
    """Return the name of the class and the fields, as attrs does."""
    name = type(record).__qualname__.rpartition(">.")[2]
    shown = (item for item in attrs.fields(type(record)) if item.repr)
    values = (f"{item.name}={_describe_value(record, item)}" for item in shown)
    return f"{name}({', '.join(values)})"


def _describe_value(record: Any, item: attrs.Attribute) -> str:
    describe = item.repr if callable(item.repr) else repr
    return describe(getattr(record, item.name, attrs.NOTHING))


def define(**options) -> Callable[[type[T]], type[T]]:
    """Return the decorator that `attrs.define` returns for the same options."""

    def decorate(cls: type[T]) -> type[T]:
        if "__repr__" not in vars(cls):
            cls.__repr__ = _describe_record
        return attrs.define(cls, **options)

    return decorate


frozen = partial(define, frozen=True)
