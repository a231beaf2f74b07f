"""Decorators for attrs classes that take less time at import.

attrs compiles the methods of each class. A third of that time goes to `__repr__`, which
is seldom called; here all classes share one. They are otherwise those of attrs.
"""

from collections.abc import Callable
from functools import partial
from reprlib import recursive_repr
from typing import Any, TypeVar

import attrs

T = TypeVar("T")


@recursive_repr()
def _describe_record(record: Any) -> str:
    """Return the name of the class and the fields, as attrs does."""
    name = type(record).__qualname__.rpartition(">.")[2]
    shown = (field for field in attrs.fields(type(record)) if field.repr)
    values = (f"{field.name}={_describe_value(record, field)}" for field in shown)
    return f"{name}({', '.join(values)})"


def _describe_value(record: Any, field: attrs.Attribute) -> str:
    describe = field.repr if callable(field.repr) else repr
    return describe(getattr(record, field.name, attrs.NOTHING))


def define(**options) -> Callable[[type[T]], type[T]]:
    """Return the decorator that `attrs.define` returns for the same options."""

    def decorate(cls: type[T]) -> type[T]:
        if "__repr__" not in vars(cls):
            cls.__repr__ = _describe_record
        return attrs.define(cls, **options)

    return decorate


frozen = partial(define, frozen=True)
