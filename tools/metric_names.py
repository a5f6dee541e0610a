"""Print the names of all counters, gauges and timings in the libraries' code.

``docs/METRICS.md`` lists them; a test compares the two. A part of a name that is
known only when the code runs is shown as ``*``.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KINDS_BY_METHOD = {"add": "counter", "gauge": "gauge", "timing": "timing"}


def metric_kinds_by_name(root: Path = ROOT) -> dict[str, str]:
    """Return what the code counts, as ``counter``, ``gauge`` or ``timing`` by name."""
    found: dict[str, str] = {}
    for path in sorted(root.glob("libs/*/src/**/*.py")):
        tree = ast.parse(path.read_text(), str(path))
        for call in ast.walk(tree):
            if isinstance(call, ast.Call) and _counts(call):
                kind = KINDS_BY_METHOD[call.func.attr]  # type: ignore[attr-defined]
                found |= dict.fromkeys(_texts(call.args[0], tree), kind)
    return dict(sorted(found.items()))


def _counts(call: ast.Call) -> bool:
    func = call.func
    return (
        isinstance(func, ast.Attribute)
        and func.attr in KINDS_BY_METHOD
        and ast.unparse(func.value).endswith("counters")
    )


def _texts(node: ast.expr, tree: ast.Module) -> Iterator[str]:
    match node:
        case ast.Constant(value=str(text)):
            yield text
        case ast.JoinedStr(values=values):
            parts = (v.value if isinstance(v, ast.Constant) else "*" for v in values)
            yield "".join(str(part) for part in parts)
        case ast.IfExp(body=body, orelse=orelse):
            yield from _texts(body, tree)
            yield from _texts(orelse, tree)
        case ast.Name(id=name):
            for value in _assigned(name, tree):
                yield from _texts(value, tree)


def _assigned(name: str, tree: ast.Module) -> Iterator[ast.expr]:
    for node in ast.walk(tree):
        match node:
            case ast.Assign(targets=[ast.Name(id=found)], value=value):
                if found == name:
                    yield value


def main() -> None:
    """Print one name a line, with its kind."""
    for name, kind in metric_kinds_by_name().items():
        print(f"{kind:8}{name}")


if __name__ == "__main__":
    main()
