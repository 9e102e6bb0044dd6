"""Prints the run-time packages that pyproject.toml lists, one a line."""

import tomllib
from pathlib import Path

PROJECT = Path(__file__).resolve().parent.parent / "pyproject.toml"

if __name__ == "__main__":
    with PROJECT.open("rb") as file:
        print(*tomllib.load(file)["project"]["dependencies"], sep="\n")
