"""Creates the project's virtual environment from the lock file."""

import hashlib
import subprocess
import venv
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ENVIRONMENT = ROOT / ".venv"
LOCK = ROOT / "requirements.lock"
PYTHON = ENVIRONMENT / "bin" / "python"
LOCK_DIGEST_FILE = ENVIRONMENT / "lock.sha256"


def prepare_environment() -> Path:
    """Return the environment's interpreter.

    The environment is created again if the lock file has changed.
    """
    digest = hashlib.sha256(LOCK.read_bytes()).hexdigest()
    if not LOCK_DIGEST_FILE.exists() or LOCK_DIGEST_FILE.read_text() != digest:
        venv.create(ENVIRONMENT, with_pip=True, clear=True)
        subprocess.run(
            [PYTHON, "-m", "pip", "install", "--quiet", "--disable-pip-version-check"]
            + ["--require-hashes", "-r", LOCK],
            check=True,
        )
        LOCK_DIGEST_FILE.write_text(digest)
    return PYTHON


def run_module(*arguments: str) -> int:
    """Run a module in the environment from the project's root; return its exit code."""
    return subprocess.run(
        [prepare_environment(), "-m", *arguments], cwd=ROOT
    ).returncode
