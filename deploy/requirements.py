"""Prints the runtime dependencies from ``pyproject.toml``, one per line."""

import tomllib
from pathlib import Path

PYPROJECT = Path(__file__).resolve().parent.parent / "pyproject.toml"

if __name__ == "__main__":
    with PYPROJECT.open("rb") as file:
        print(*tomllib.load(file)["project"]["dependencies"], sep="\n")
