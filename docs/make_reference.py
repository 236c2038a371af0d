"""Writes docs/reference/: a page for each module, from its docstrings.

Run from the root of the repository: ``make reference``.
"""

import ast
import shutil
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "onyxfork"
TARGET = ROOT / "docs" / "reference"


def public_items(tree):
    """Yield the public functions and classes of a module, with their docstrings."""
    for node in tree.body:
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
            text = ast.get_docstring(node)
            if text and not node.name.startswith("_"):
                yield node, text


def signature(node):
    """Return how an item is called."""
    if isinstance(node, ast.ClassDef):
        return f"class {node.name}"
    return f"{node.name}({ast.unparse(node.args)})"


def write_page(path):
    """Write the page of one module and return its row of the index."""
    tree = ast.parse(path.read_text())
    name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
    text = ast.get_docstring(tree) or ""
    lines = [f"# {name}", "", text, ""]
    for node, doc in public_items(tree):
        lines += [f"## `{signature(node)}`", "", "```text", doc, "```", ""]
    (TARGET / f"{name}.md").write_text("\n".join(lines))
    return f"| [{name}]({name}.md) | {text.splitlines()[0] if text else ''} |"


def main():
    """Write every page and the index."""
    shutil.rmtree(TARGET, ignore_errors=True)
    TARGET.mkdir(parents=True)
    rows = [write_page(path) for path in sorted(PACKAGE.rglob("*.py"))]
    head = ["# Modules", "", "| module | what it does |", "|---|---|"]
    (TARGET / "README.md").write_text("\n".join(head + rows) + "\n")


if __name__ == "__main__":
    main()
