"""Typed access to decoded JSON and TOML; errors name the field."""

from typing import Any


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
        raise FieldError(f"{name}: expected an object around it, got {content!r:.60}")
    value = content.get(name)
    if value is None:
        if default is ...:
            raise FieldError(f"{name}: missing, expected {kind.__name__}")
        return default
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise FieldError(f"{name}: expected {kind.__name__}, got {value!r:.60}")
    if kind is str:
        _check_text(name, value)
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
        raise FieldError(f"{name}: expected texts, got {values!r:.60}")
    for value in values:
        _check_text(name, value)
    return tuple(values)
