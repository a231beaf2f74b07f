"""The table commands with a stand-in platform on the loopback interface."""

import json
import tempfile
import unittest
from pathlib import Path

from attrs import define
from typer.testing import CliRunner

from gentianhub.cli.main import app
from gentianhub.cli.table_output import ExitCode
from gentianhub.stand_ins.platform import PlatformStandIn, serve_platform
from gentianhub.stand_ins.processes import LOOPBACK, find_free_ports
from gentianhub.web import Response, build_application, open_server

EXAMPLE = Path(__file__).parents[3] / "examples" / "table"


@define(kw_only=True, eq=False)
class FakeOperatorPort:
    """Operator port of an entry process that reports the platform's version."""

    platform: PlatformStandIn
    is_stuck: bool = False
    dumps: int = 0

    def handle(self, request) -> Response:
        self.dumps += 1
        version = 0
        # The first dump reports an old version, so that `apply` has to poll again.
        if not self.is_stuck and self.dumps > 1:
            version = self.platform.rows["table/head"][1]["version"]
        state = {"owner": f"olten.e1.{'0' * 16}", "table_version": version}
        return Response(status=200, body=json.dumps(state).encode())


class TableCommandsTest(unittest.TestCase):
    """Guards against an edit that is lost, overwrites another or is misreported."""

    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.platform = PlatformStandIn()
        entry = {"name": "e1", "data_centre": "olten"}
        self.platform.hosts = {"entry_processes": [entry], "targets": []}
        self.entry = FakeOperatorPort(platform=self.platform)
        self.port, self.operator_port = find_free_ports(2)
        served = serve_platform(self.platform, (LOOPBACK, self.port))
        self.enterContext(served)
        application = build_application(self.entry.handle, None, 1024)
        address = (LOOPBACK, self.operator_port)
        self.enterContext(open_server(address, application, 10))

    def invoke(self, *arguments: str) -> tuple[ExitCode, str]:
        result = CliRunner().invoke(
            app, ["table", *arguments, "--platform", f"{LOOPBACK}:{self.port}"]
        )
        if not isinstance(result.exception, SystemExit | None):
            raise result.exception
        return ExitCode(result.exit_code), result.output

    def edit(self, command: str, source, version: int, *more: str):
        operator = f"olten.e1={LOOPBACK}:{self.operator_port}"
        return self.invoke(
            *(command, str(source), "--expected-version", str(version)),
            *("--author", "ada", "--reason", "more stock checks"),
            *("--operator", operator, *more),
        )

    def copy_example(self, old: str = "", new: str = "") -> Path:
        for path in EXAMPLE.glob("*.csv"):
            text = path.read_text().replace(old, new) if old else path.read_text()
            (self.folder / path.name).write_text(text)
        return self.folder

    def test_apply_diff_dry_run_revert_history_and_show(self):
        code, text = self.edit("apply", EXAMPLE, 0)
        self.assertEqual(code, ExitCode.DONE, text)
        self.assertIn("olten.e1: version 1, in force", text)
        changed = self.copy_example("hospitals,4,96", "hospitals,8,96")
        code, text = self.invoke("diff", str(changed))
        self.assertEqual(code, ExitCode.DIFFERENT)
        self.assertIn("~ teams hospitals: weight 4 -> 8", text)
        code, text = self.edit("apply", changed, 1, "--dry-run")
        self.assertEqual(code, ExitCode.DIFFERENT)
        self.assertIn("share of the slots", text)
        self.assertEqual(self.platform.rows["table/head"][1]["version"], 1)
        self.assertEqual(self.edit("apply", changed, 1)[0], ExitCode.DONE)
        # `revert` succeeds although the platform's reply to the write is lost.
        self.platform.drop_replies = 1
        self.assertEqual(self.edit("revert", 1, 2)[0], ExitCode.DONE)
        code, text = self.invoke("diff", str(EXAMPLE))
        self.assertEqual(code, ExitCode.DONE, text)
        code, text = self.invoke("history", "--json")
        changes = json.loads(text)["changes"]
        self.assertEqual([change["version"] for change in changes], [3, 2, 1])
        self.assertEqual(self.edit("revert", 9, 3)[0], ExitCode.NO_SUCH_VERSION)
        into = self.folder / "shown"
        self.invoke("show", "--version", "2", "--into", str(into))
        self.assertIn("hospitals,8,96", (into / "teams.csv").read_text())

    def test_stale_edit_is_refused_with_the_changes_since_its_base(self):
        self.edit("apply", EXAMPLE, 0)
        self.edit("apply", self.copy_example("depot,2,", "depot,3,"), 1)
        stale = self.copy_example("workshops,1,48", "workshops,1,64")
        code, text = self.edit("apply", stale, 1, "--json")
        self.assertEqual(code, ExitCode.STALE_VERSION)
        content = json.loads(text)
        self.assertEqual((content["expected_version"], content["version"]), (1, 2))
        (difference,) = content["differences"]
        self.assertEqual(difference["after"]["name"], "depot")
        self.assertEqual(self.platform.rows["table/head"][1]["version"], 2)

    def test_outage_refuses_the_edit_and_writes_nothing(self):
        self.platform.is_down = True
        for command in (self.edit("apply", EXAMPLE, 0), self.invoke("show")):
            self.assertEqual(command[0], ExitCode.PLATFORM_DOWN)
            self.assertIn("Nothing was written", command[1])
        self.assertEqual(self.platform.rows, {})
        self.assertEqual(
            CliRunner().invoke(app, ["table", "check", str(EXAMPLE)]).exit_code, 0
        )

    def test_apply_reports_processes_not_known_to_have_the_version(self):
        self.entry.is_stuck = True
        lost = {"name": "e2", "data_centre": "aarau"}
        self.platform.hosts["entry_processes"].append(lost)
        (closed_port,) = find_free_ports(1)
        more = ("--wait-s", "0.3", "--operator", f"olten.e3={LOOPBACK}:{closed_port}")
        code, text = self.edit("apply", EXAMPLE, 0, *more)
        self.assertEqual(code, ExitCode.NOT_EVERYWHERE)
        self.assertIn("version 1 is written", text)
        self.assertIn("olten.e1: version 0, behind", text)
        self.assertIn(
            "aarau.e2: version unknown; its operator port was not given", text
        )
        self.assertIn("olten.e3: version unknown; no answer", text)

    def test_faulty_files_are_never_written(self):
        faulty = self.copy_example("hospitals,4,96", "hospitals,four,96")
        code, text = self.edit("apply", faulty, 0)
        self.assertEqual(code, ExitCode.FAULTY_FILES)
        self.assertIn("teams.csv, row 6, column weight: 'four'", text)
        self.assertEqual(self.platform.rows, {})
