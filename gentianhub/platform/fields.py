"""Typed access to decoded JSON and TOML; errors name the field.

All values come from other programs. What is returned can be computed with, encoded and
logged: texts are Unicode, numbers are finite and fit into 64 bits.
"""

import math
import reprlib
from typing import Any

# Bounds of integers that can be encoded and converted to floating point.
MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -MAX_INTEGER


class FieldError(ValueError):
    """A field is missing or has a type other than the expected one."""


def read_field(content: Any, name: str, kind: type, default: Any = ...) -> Any:
    """Return a field of an object; without a default the field is required.

    Raises
    ------
    FieldError
        If the field is missing or is not of the type `kind`.
    """
    if not isinstance(content, dict):
        found = describe_value(content)
        raise FieldError(f"{name}: expected an object around it, got {found}")
    value = content.get(name)
    if value is None:
        if default is ...:
            raise FieldError(f"{name}: missing, expected {kind.__name__}")
        return default
    if kind is float and type(value) is int:
        value = float(_check_integer(name, value))
    if type(value) is not kind:
        found = describe_value(value)
        raise FieldError(f"{name}: expected {kind.__name__}, got {found}")
    if kind is str:
        _check_text(name, value)
    if kind is int:
        _check_integer(name, value)
    if kind is float and not math.isfinite(value):
        raise FieldError(f"{name}: expected a finite number, got {value}")
    return value


def read_number(
    content: Any,
    name: str,
    kind: type,
    smallest: float,
    largest: float,
    default: Any = ...,
) -> Any:
    """Return a number in a range that includes its ends; see `read_field`.

    Raises
    ------
    FieldError
        If the field is missing, is not of the type `kind` or is out of the range.
    """
    value = read_field(content, name, kind, default)
    if value is default or smallest <= value <= largest:
        return value
    raise FieldError(f"{name}: expected {smallest} to {largest}, got {value:.12g}")


def describe_value(value: Any) -> str:
    """Return a short text for an error message, also of a deeply nested value."""
    return reprlib.repr(value)


def _check_integer(name: str, value: int) -> int:
    if not MIN_INTEGER <= value <= MAX_INTEGER:
        digits = len(str(abs(value)))
        raise FieldError(f"{name}: expected 64 bits, got a number of {digits} digits")
    return value


def _check_text(name: str, value: str) -> None:
    """Reject lone surrogates, which JSON can escape but UTF-8 cannot encode."""
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise FieldError(f"{name}: expected Unicode text: {error}") from error


def read_strings(content: Any, name: str) -> tuple[str, ...]:
    """Return a list of strings; an absent field is an empty list.

    Raises
    ------
    FieldError
        If the field is not a list of strings.
    """
    values = read_field(content, name, list, [])
    if not all(isinstance(value, str) for value in values):
        raise FieldError(f"{name}: expected texts, got {describe_value(values)}")
    for value in values:
        _check_text(name, value)
    return tuple(values)
