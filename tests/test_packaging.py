"""The distribution contains every package of the service.

setuptools is not among the pinned tools, so its `packages.find` is read from pyproject.toml and matched here: a package
is taken if its dotted name matches a pattern of `include`, and the folder above it is a package as well.
"""

import tomllib
from fnmatch import fnmatchcase
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = ROOT / "stileloft"


def find_settings() -> dict[str, list[str]]:
    """Returns the `packages.find` settings of pyproject.toml."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    settings: dict[str, list[str]] = project["tool"]["setuptools"]["packages"]["find"]
    return settings


def packages() -> list[str]:
    """Returns the dotted names of the service's folders with an `__init__.py`."""
    return sorted(".".join(file.parent.relative_to(ROOT).parts) for file in SOURCES.rglob("__init__.py"))


def is_found(package: str, settings: dict[str, list[str]]) -> bool:
    """Whether setuptools includes a package in the distribution."""
    include, exclude = settings.get("include", ["*"]), settings.get("exclude", [])
    parent = package.rpartition(".")[0]
    return (
        any(fnmatchcase(package, pattern) for pattern in include)
        and not any(fnmatchcase(package, pattern) for pattern in exclude)
        and (not parent or is_package(parent))
    )


def is_package(name: str) -> bool:
    """Whether a dotted name is a folder of this checkout with an `__init__.py`."""
    return (ROOT.joinpath(*name.split(".")) / "__init__.py").is_file()


def test_only_include_and_exclude_are_set() -> None:
    assert find_settings().keys() <= {"include", "exclude"}, (
        "`is_found` does not support other settings, such as `where`"
    )


def test_each_package_is_in_the_distribution() -> None:
    names, settings = packages(), find_settings()
    assert "stileloft" in names
    assert "stileloft.protocol" in names
    assert [name for name in names if not is_found(name, settings)] == []


def test_each_folder_with_modules_is_a_package() -> None:
    """A folder without an `__init__.py` is missing from the distribution, though a checkout can import it."""
    folders = {file.parent for file in SOURCES.rglob("*.py")}
    assert [str(folder) for folder in folders if not (folder / "__init__.py").is_file()] == []


@pytest.mark.parametrize(
    ("package", "settings"),
    [
        ("stileloft.protocol", {"include": ["stileloft"]}),
        ("stileloft.protocol", {"include": ["stileloft*"], "exclude": ["stileloft.proto*"]}),
        ("stileloft.missing.part", {"include": ["stileloft*"]}),
    ],
)
def test_an_excluded_package_is_detected(package: str, settings: dict[str, list[str]]) -> None:
    assert not is_found(package, settings)
