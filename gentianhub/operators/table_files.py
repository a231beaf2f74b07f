"""Reading and writing of the table as CSV files, one for each sheet.

The columns are the fields of the row classes in `gentianhub.core.table`, whose
validators define the allowed values. Each name has one row.
"""

import csv
import io
import math
from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import NOTHING, Attribute, fields

from gentianhub.core import Table
from gentianhub.core.records import frozen
from gentianhub.decisions.versions import ROW_CLASSES, Row, get_sheets

COMMENT_PREFIX = "#"
MAX_NAME_LENGTH = 100


@frozen(kw_only=True)
class TableFault:
    """A fault in a file; `row` is the line number from 1, or 0 for the whole file."""

    file: str
    row: int
    column: str
    found: str
    expected: str

    def __str__(self) -> str:
        location = self.file
        location += f", row {self.row}" if self.row else ""
        location += f", column {self.column}" if self.column else ""
        return f"{location}: {self.found}; expected {self.expected}"


@frozen(kw_only=True)
class FaultyTable:
    """Result: the files are not a valid table; holds every fault found."""

    faults: tuple[TableFault, ...]


@frozen(kw_only=True)
class _Line:
    """A row of a file that is neither empty nor a comment."""

    row: int
    cells: list[str]


@frozen(kw_only=True)
class _ParsedLine:
    """The valid values of a line; `row` is None if the line has a fault."""

    line: int
    values: dict
    row: Row | None


def read_table_files(folder: Path) -> Table | FaultyTable:
    """Return the table in a folder, or every fault in its files."""
    faults: list[TableFault] = []
    sheets = {sheet: _read_sheet(folder, sheet, faults) for sheet in ROW_CLASSES}
    teams = {line.values.get("name") for line in sheets["teams"]} - {None}
    faults += [
        _build_fault(
            "services.csv",
            f"no team {line.values['team']!r} in teams.csv",
            "one of: " + (", ".join(sorted(teams)) or "none, add a team"),
            line.line,
            "team",
        )
        for line in sheets["services"]
        if "team" in line.values and line.values["team"] not in teams
    ]
    if faults:
        return FaultyTable(faults=tuple(faults))
    return Table(
        **{
            sheet: {line.row.name: line.row for line in lines}
            for sheet, lines in sheets.items()
        }
    )


def write_table_files(folder: Path, table: Table) -> None:
    """Write a table as CSV files with rows sorted by name."""
    folder.mkdir(parents=True, exist_ok=True)
    for sheet, rows in get_sheets(table).items():
        (folder / f"{sheet}.csv").write_text(format_sheet(sheet, rows.values()))


def format_sheet(sheet: str, rows: Iterable[Row]) -> str:
    """Return a sheet as CSV text with a header row."""
    columns = [column.name for column in fields(ROW_CLASSES[sheet])]
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(columns)
    for row in sorted(rows, key=lambda row: row.name):
        writer.writerow([format_cell(getattr(row, column)) for column in columns])
    return text.getvalue()


def format_cell(value) -> str:
    """Return the text of a cell; an empty cell means no limit."""
    match value:
        case None:
            return ""
        case float() if value.is_integer():
            return str(int(value))
        case _:
            return str(value)


def _read_sheet(
    folder: Path, sheet: str, faults: list[TableFault]
) -> list[_ParsedLine]:
    file = f"{sheet}.csv"
    try:
        # Spreadsheet programs write a byte order mark at the start of UTF-8 files.
        text = (folder / file).read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        faults.append(_build_fault(file, str(error), "a CSV file in UTF-8"))
        return []
    lines = _split_lines(file, text, faults)
    header = next(lines, None)
    if header is None:
        columns = ",".join(column.name for column in fields(ROW_CLASSES[sheet]))
        faults.append(_build_fault(file, "no header row", f"the header {columns}"))
        return []
    if not _check_header(file, sheet, header, faults):
        return []
    return list(_parse_rows(file, sheet, header, lines, faults))


def _split_lines(file: str, text: str, faults: list[TableFault]) -> Iterator[_Line]:
    # Comments are replaced by empty lines to keep the reader's line numbers correct.
    lines = (
        "\n" if line.lstrip().startswith(COMMENT_PREFIX) else line
        for line in io.StringIO(text, newline=None)
    )
    reader = csv.reader(lines, strict=True, skipinitialspace=True)
    try:
        for cells in reader:
            stripped = [cell.strip() for cell in cells]
            if any(stripped):
                yield _Line(row=reader.line_num, cells=stripped)
    except csv.Error as error:
        expected = "commas between cells, quotes in pairs"
        faults.append(_build_fault(file, str(error), expected, reader.line_num))


def _check_header(
    file: str, sheet: str, header: _Line, faults: list[TableFault]
) -> bool:
    columns = {column.name: column for column in fields(ROW_CLASSES[sheet])}
    names = _strip_trailing_empty(header.cells)
    initial_count = len(faults)
    if len(names) == 1 and ";" in names[0]:
        found, expected = "cells separated by ';'", "cells separated by ','"
        faults.append(_build_fault(file, found, expected, header.row))
        return False
    for name in names:
        if name not in columns:
            expected = "one of: " + ", ".join(columns)
            faults.append(
                _build_fault(file, f"unknown column {name!r}", expected, header.row)
            )
        elif names.count(name) > 1:
            expected = f"one column {name}"
            faults.append(
                _build_fault(file, f"column {name} twice", expected, header.row)
            )
    for name, column in columns.items():
        if name not in names and column.default is NOTHING:
            expected = f"a column {name}"
            faults.append(
                _build_fault(file, "a column is missing", expected, header.row)
            )
    return len(faults) == initial_count


def _parse_rows(
    file: str,
    sheet: str,
    header: _Line,
    lines: Iterator[_Line],
    faults: list[TableFault],
) -> Iterator[_ParsedLine]:
    names = _strip_trailing_empty(header.cells)
    seen: dict[str, int] = {}
    for line in lines:
        initial_count = len(faults)
        values = _parse_line(file, sheet, names, line, faults)
        name = values.get("name")
        if name in seen:
            found, expected = f"{name!r} is on row {seen[name]} already", "one row"
            faults.append(_build_fault(file, found, expected, line.row, "name"))
        elif name is not None:
            seen[name] = line.row
        is_valid = len(faults) == initial_count
        row = ROW_CLASSES[sheet](**values) if is_valid else None
        yield _ParsedLine(line=line.row, values=values, row=row)


def _parse_line(
    file: str, sheet: str, names: list[str], line: _Line, faults: list[TableFault]
) -> dict:
    """Return the valid values of a line; append its faults to `faults`."""
    cells = _strip_trailing_empty(line.cells)
    if len(cells) > len(names):
        found = f"{len(cells)} cells"
        expected = f"{len(names)} at most, as in the header"
        faults.append(_build_fault(file, found, expected, line.row))
    values = {}
    columns = fields(ROW_CLASSES[sheet])
    for index, name in enumerate(names):
        column = getattr(columns, name)
        cell = cells[index] if index < len(cells) else ""
        if not cell and column.default is not NOTHING:
            continue
        try:
            values[name] = parse_cell(column, cell)
        except ValueError:
            found, expected = repr(cell[:80]), describe_column(column)
            faults.append(_build_fault(file, found, expected, line.row, name))
    return values


def parse_cell(column: Attribute, cell: str):
    """Return the value of a cell.

    Raises
    ------
    ValueError
        The column does not allow the value.
    """
    if column.type is str:
        if not 1 <= len(cell) <= MAX_NAME_LENGTH or not cell.isprintable():
            raise ValueError("not a name")
        return cell
    # Python accepts underscores in numbers, spreadsheet programs do not.
    if "_" in cell:
        raise ValueError("not a number")
    value = float(cell) if column.type is float else int(cell)
    if not math.isfinite(value):
        raise ValueError("not a finite number")
    if column.validator is not None:
        column.validator(None, column, value)
    return value


def describe_column(column: Attribute) -> str:
    """Return a description of the values that a column allows."""
    if column.type is str:
        return f"a name of 1 to {MAX_NAME_LENGTH} printable characters"
    text = "a number" if column.type is float else "a whole number"
    validator = getattr(column.validator, "validator", column.validator)
    if validator is not None:
        text += f" {validator.compare_op} {validator.bound}"
    match column.default:
        case default if default is NOTHING:
            return text
        case None:
            return f"{text}, or an empty cell for no limit"
        case default:
            return f"{text}, or an empty cell for {format_cell(default)}"


def _strip_trailing_empty(cells: list[str]) -> list[str]:
    """Return the cells without the trailing empty ones that spreadsheets add."""
    filled = [index for index, cell in enumerate(cells) if cell]
    return cells[: filled[-1] + 1] if filled else []


def _build_fault(
    file: str, found: str, expected: str, row: int = 0, column: str = ""
) -> TableFault:
    return TableFault(file=file, row=row, column=column, found=found, expected=expected)
