"""Generates docs/settings.md from the settings classes.

Run with `python -m tools.settings_reference`; a test compares the page with the output.
"""

import json
from collections.abc import Iterator
from pathlib import Path

import attrs

from gentianhub.settings import HostSettings

PAGE = Path(__file__).resolve().parent.parent / "docs" / "settings.md"
HEADING = """# Settings

JSON with comments, one file for each entry host; `examples/host.json` is one. Unknown
keys, missing keys, wrong types and values out of range are refused before anything
starts, each with its key path and what was expected. The range of an object's values is
checked once all its keys have the right type. This page is made by
`python -m tools.settings_reference` from `gentianhub/settings/model.py`.

| key | type | default | meaning |
| --- | --- | --- | --- |
"""


def build_page() -> str:
    """Return the text of the reference page."""
    return HEADING + "\n".join(generate_rows(HostSettings, "")) + "\n"


def generate_rows(cls: type, prefix: str) -> Iterator[str]:
    """Yield a table row for each key of a settings class."""
    for attribute in attrs.fields(attrs.resolve_types(cls)):
        path = f"{prefix}{attribute.name}"
        nested = find_settings_class(attribute.type)
        suffix = "[]" if nested is not None and nested is not attribute.type else ""
        yield format_row(attribute, path)
        if nested is not None:
            yield from generate_rows(nested, f"{path}{suffix}.")


def format_row(attribute: attrs.Attribute, path: str) -> str:
    """Return the table row of one key."""
    meaning = attribute.metadata.get("meaning", "")
    assert meaning, f"setting {path} has no 'meaning' metadata"
    default = format_default(attribute.default)
    return f"| `{path}` | {format_type(attribute.type)} | {default} | {meaning} |"


def format_default(default) -> str:
    """Return the text that the page shows for a default."""
    match default:
        case attrs.NOTHING:
            return "required"
        case attrs.Factory():
            return "the defaults of its keys"
        case ():
            return "empty"
        case _:
            return f"`{json.dumps(default)}`"


def find_settings_class(kind) -> type | None:
    """Return the settings class that a type is or contains, or None."""
    if attrs.has(kind):
        return kind
    arguments = getattr(kind, "__args__", ())
    return next((nested for nested in arguments if attrs.has(nested)), None)


def format_type(kind) -> str:
    """Return the text that the page shows for a type."""
    if attrs.has(kind):
        return "object"
    names = {str: "string", int: "whole number", float: "number", bool: "true or false"}
    return names.get(kind, "list of objects")


if __name__ == "__main__":
    PAGE.write_text(build_page())
