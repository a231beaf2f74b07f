"""Prepares the project's virtual environment from the lock file."""

import hashlib
import subprocess
import venv
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ENVIRONMENT = ROOT / ".venv"
LOCK = ROOT / "requirements.lock"
PYTHON = ENVIRONMENT / "bin" / "python"
STAMP = ENVIRONMENT / "lock.sha256"


def prepare_environment() -> Path:
    """Return the environment's interpreter; install what the lock file names."""
    digest = hashlib.sha256(LOCK.read_bytes()).hexdigest()
    if not STAMP.exists() or STAMP.read_text() != digest:
        venv.create(ENVIRONMENT, with_pip=True, clear=True)
        subprocess.run(
            [PYTHON, "-m", "pip", "install", "--quiet", "--disable-pip-version-check"]
            + ["--require-hashes", "-r", LOCK],
            check=True,
        )
        STAMP.write_text(digest)
    return PYTHON


def run_module(*arguments: str) -> int:
    """Run a module in the environment, from the project's root; return its code."""
    return subprocess.run(
        [prepare_environment(), "-m", *arguments], cwd=ROOT
    ).returncode
