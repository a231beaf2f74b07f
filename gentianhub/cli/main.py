"""The `gentianhub` command and its subcommands."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from geventhttpclient import HTTPClient

from gentianhub.cli.development import development
from gentianhub.cli.jobs import cancel_job, show_job, submit_job
from gentianhub.cli.table import table
from gentianhub.core import SettingsError
from gentianhub.entry import EntryProcess
from gentianhub.observability import configure_logging
from gentianhub.settings import load_settings, select_process

EXIT_BAD_SETTINGS = 2
EXIT_UNREACHABLE = 1
EXIT_CANNOT_SERVE = 3

app = typer.Typer(
    help="Dispatcher for sub-second tasks.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.add_typer(development, name="development")
app.command("submit")(submit_job)
app.command("status")(show_job)
app.command("cancel")(cancel_job)
app.add_typer(table, name="table")


@app.command("entry")
def run_entry(
    settings: Annotated[Path, typer.Option(help="Settings file of the host.")],
    process: Annotated[str, typer.Option(help="Name of the process to run.")],
) -> None:
    """Run one entry process until SIGTERM."""
    try:
        host = load_settings(settings)
        selected = select_process(host, process)
    except SettingsError as error:
        print(f"{error.peer}:\n  {error.reason}", file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None
    configure_logging(process=f"{host.data_centre}.{process}", level=host.log_level)
    try:
        EntryProcess(host=host, process=selected).run()
    except OSError as error:
        print(f"{selected.name}: cannot serve: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_CANNOT_SERVE) from None


@app.command("dump")
def print_dump(
    operators: Annotated[str, typer.Argument(help="HOST:PORT of an operator port.")],
) -> None:
    """Print the state of one entry process as JSON."""
    host, _, port = operators.rpartition(":")
    client = HTTPClient(host, int(port))
    try:
        print(bytes(client.get("/dump").read()).decode())
    except OSError as error:
        print(f"{operators}: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_UNREACHABLE) from None
    finally:
        client.close()


def run() -> None:
    """Run the command line."""
    app()
