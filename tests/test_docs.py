"""The pages: their commands can be run, their links lead somewhere, names are whole."""

import re
import shlex
import subprocess
import sys
from importlib import import_module
from pathlib import Path

import pytest
from celeryfork_cmdline.main import make_app
from celeryfork_config.describe import configuration_page
from typer.main import get_command

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

from metric_names import metric_kinds_by_name  # noqa: E402

PAGES = sorted(
    [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md"), *ROOT.glob("docs/notes/*.md")]
)
PAGE_NAMES = [str(page.relative_to(ROOT)) for page in PAGES]
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
COMMAND = re.compile(
    r"^(?:[A-Z_]+=\S+ )?"
    r"(?:(?:dist/)?celeryfork|make|python|pytest|tools/\S+|\.ci/run)(?: |$)"
)
METRIC = re.compile(r"^\| `([a-z_.*]+)` \| (counter|gauge|timing) \| .+ \|$", re.M)
HELP_S = 60.0


def commands_of(text: str) -> list[str]:
    """Return a page's commands: indented lines and code in a line of text."""
    lines = re.findall(r"^    (\S.*)$", text, re.M)
    inline = re.findall(r"`([^`\n]+)`", text)
    stripped = (re.split(r"\s+# ", line)[0].strip() for line in [*lines, *inline])
    return [each for each in stripped if COMMAND.match(each)]


def all_commands() -> list[str]:
    found = {command for page in PAGES for command in commands_of(page.read_text())}
    return sorted(found)


def words_of(command: str) -> list[str]:
    words = shlex.split(command)
    return words[1:] if "=" in words[0] else words


def test_the_pages_have_commands() -> None:
    assert len(all_commands()) > 30


@pytest.mark.parametrize("page", PAGE_NAMES)
def test_links_lead_somewhere(page: str) -> None:
    path = ROOT / page
    links = [link for link in LINK.findall(path.read_text()) if "://" not in link]
    assert [link for link in links if not (path.parent / link).exists()] == []


@pytest.mark.parametrize(
    "command", [c for c in all_commands() if "celeryfork" in words_of(c)[0]]
)
def test_a_celeryfork_command_is_one(command: str) -> None:
    words = words_of(command)[1:]
    found = get_command(make_app())
    while hasattr(found, "commands") and words and not words[0].startswith("-"):
        assert words[0] in found.commands, command
        found, words = found.commands[words[0]], words[1:]
    if hasattr(found, "commands"):
        known = {option for each in found.params for option in each.opts}
        assert set(words) <= known, command
    elif words or command in whole_lines():
        # Parses the words and checks each value, without running anything.
        found.make_context(found.name, words)


def whole_lines() -> set[str]:
    """Return the commands that stand as lines of their own, to be copied whole."""
    texts = (page.read_text() for page in PAGES)
    lines = (line for text in texts for line in re.findall(r"^    (\S.*)$", text, re.M))
    return {re.split(r"\s+# ", line)[0].strip() for line in lines}


@pytest.mark.parametrize(
    "command", [c for c in all_commands() if words_of(c)[0] == "make"]
)
def test_a_make_target_exists(command: str) -> None:
    targets = set(re.findall(r"^([a-z-]+):", (ROOT / "Makefile").read_text(), re.M))
    named = [word for word in words_of(command)[1:] if "=" not in word]
    assert set(named) <= targets


@pytest.mark.parametrize(
    "command",
    [c for c in all_commands() if words_of(c)[0].startswith(("python", "tools/", "."))],
)
def test_a_script_exists(command: str) -> None:
    words = words_of(command)
    if words[0] != "python":
        assert (ROOT / words[0]).is_file()
    elif words[1] == "-m":
        library = words[2].split(".")[0].removeprefix("celeryfork_")
        module = words[2].replace(".", "/")
        assert (ROOT / "libs" / library / "src" / f"{module}.py").is_file()
    else:
        assert (ROOT / words[1]).is_file()


def test_short_commands_run() -> None:
    """Those that end at once are run as they stand on the pages."""
    for words in (["version"], ["schema"], ["check", "--help"], ["--help"]):
        ran = subprocess.run(
            [
                sys.executable,
                "-c",
                "import sys; from celeryfork_cmdline.main import main; "
                "sys.exit(main())",
                *words,
            ],
            env={"PYTHONPATH": ":".join(map(str, ROOT.glob("libs/*/src")))},
            capture_output=True,
            text=True,
            timeout=HELP_S,
        )
        assert ran.returncode == 0, ran.stderr


def test_every_metric_is_listed_once_with_its_kind() -> None:
    listed = METRIC.findall((ROOT / "docs" / "METRICS.md").read_text())
    assert len(listed) == len(dict(listed)), "a name is listed twice"
    assert dict(listed) == metric_kinds_by_name()


def test_every_error_code_is_on_the_callers_page() -> None:
    page = (ROOT / "docs" / "API.md").read_text()
    named = set(re.findall(r"`([a-z_]+)`", page))
    used = set()
    for path in ROOT.glob("libs/*/src/**/*.py"):
        used |= set(re.findall(r'\bcode="([a-z_]+)"', path.read_text()))
    # Nobody is left to be told that the caller has gone.
    assert used - named - {"caller_gone"} == set()


def test_every_public_name_on_the_libraries_page_exists() -> None:
    page = (ROOT / "docs" / "LIBRARIES.md").read_text()
    missing, seen = [], 0
    for part in page.split("\n## ")[1:]:
        library = part.split(maxsplit=1)[0]
        for module, name in re.findall(r"^    ([a-z_]+)\.([A-Za-z]\w+)", part, re.M):
            seen += 1
            found = import_module(f"celeryfork_{library}.{module}")
            if not hasattr(found, name):
                missing.append(f"{library}: {module}.{name}")
    assert missing == []
    assert seen > 50


def test_the_configuration_page_is_up_to_date() -> None:
    page = (ROOT / "docs" / "CONFIGURATION.md").read_text()
    assert page.strip() == configuration_page().strip()
