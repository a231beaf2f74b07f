"""Loading and validation of settings files: JSON with comments."""

from collections.abc import Callable
from pathlib import Path
from typing import get_args, get_origin

import attrs
import cattrs
import pyjson5
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.gen import make_dict_structure_fn
from cattrs.v import transform_error

from gentianhub.core import SettingsError, Step
from gentianhub.settings.model import HostSettings, ProcessSettings

_converter = cattrs.Converter(forbid_extra_keys=True)


@_converter.register_structure_hook
def _structure_int(value, _) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a whole number")
    return value


@_converter.register_structure_hook
def _structure_float(value, _) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a number")
    return float(value)


@_converter.register_structure_hook
def _structure_str(value, _) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


@_converter.register_structure_hook_factory(attrs.has)
def _build_object_hook(cls: type) -> Callable:
    structure = make_dict_structure_fn(cls, _converter, _cattrs_forbid_extra_keys=True)
    names = ", ".join(attribute.name for attribute in attrs.fields(cls))

    def structure_object(value, kind):
        if not isinstance(value, dict):
            raise TypeError(f"{value!r} is not an object with the keys {names}")
        return structure(value, kind)

    return structure_object


@_converter.register_structure_hook_factory(lambda kind: get_origin(kind) is tuple)
def _build_list_hook(kind: type) -> Callable:
    item_type = get_args(kind)[0]

    def structure_list(value, _):
        if not isinstance(value, list):
            raise TypeError(f"{value!r} is not a list of objects")
        return tuple(_converter.structure(value, list[item_type]))

    return structure_list


def load_settings(path: Path) -> HostSettings:
    """Return the validated settings in a file.

    Raises
    ------
    SettingsError
        The file cannot be read or has invalid settings. The reason has one line
        for each error, with the key path and the expected value.
    """
    try:
        content = pyjson5.decode(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise _build_error(path, [str(error)]) from None
    except UnicodeDecodeError as error:
        raise _build_error(path, [f"not UTF-8: {error}"]) from None
    except pyjson5.Json5Exception as error:
        raise _build_error(path, [f"not JSON with comments: {error}"]) from None
    try:
        return _converter.structure(content, HostSettings)
    except TypeError as error:
        raise _build_error(path, [f"{error} @ $"]) from None
    except (ClassValidationError, IterableValidationError) as error:
        raise _build_error(path, transform_error(error, "$", _format_error)) from None


def select_process(settings: HostSettings, name: str) -> ProcessSettings:
    """Return the settings of the named process.

    Raises
    ------
    SettingsError
        The settings have no process of this name.
    """
    for process in settings.processes:
        if process.name == name:
            return process
    names = ", ".join(process.name for process in settings.processes)
    raise _build_error(Path("--process"), [f"{name!r} is not one of: {names}"])


def _format_error(error: BaseException, expected_type: type | None) -> str:
    match error:
        case ForbiddenExtraKeysError(extra_fields=names):
            return "unknown key " + ", ".join(sorted(names))
        case KeyError(args=(name,)):
            return f"missing key {name}"
        case _:
            return str(error.args[0]) if error.args else repr(error)


def _build_error(path: Path, errors: list[str]) -> SettingsError:
    return SettingsError(
        step=Step.READ_SETTINGS, peer=str(path), reason="\n  ".join(errors)
    )
