"""Generate docs/reference/ from docstrings: one Markdown page per module, and an index.

Run ``make reference`` from the root of the repository.
"""

import ast
import shutil
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "onyxfork"
TARGET = ROOT / "docs" / "reference"


def public_items(tree):
    """Yield each public top-level function or class that has a docstring, with the docstring."""
    for node in tree.body:
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)):
            docstring = ast.get_docstring(node)
            if docstring and not node.name.startswith("_"):
                yield node, docstring


def signature(node):
    """Return the name and parameters of a function, or ``class Name`` for a class."""
    if isinstance(node, ast.ClassDef):
        return f"class {node.name}"
    return f"{node.name}({ast.unparse(node.args)})"


def write_page(path):
    """Write the reference page of a module and return its row of the index table."""
    tree = ast.parse(path.read_text())
    module_name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
    docstring = ast.get_docstring(tree) or ""
    lines = [f"# {module_name}", "", docstring, ""]
    for node, item_docstring in public_items(tree):
        lines += [f"## `{signature(node)}`", "", "```text", item_docstring, "```", ""]
    (TARGET / f"{module_name}.md").write_text("\n".join(lines))
    return (
        f"| [{module_name}]({module_name}.md) | {docstring.splitlines()[0] if docstring else ''} |"
    )


def main():
    """Replace the output directory with newly written module pages and the index."""
    shutil.rmtree(TARGET, ignore_errors=True)
    TARGET.mkdir(parents=True)
    index_rows = [write_page(path) for path in sorted(PACKAGE.rglob("*.py"))]
    index_header = ["# Modules", "", "| module | what it does |", "|---|---|"]
    (TARGET / "README.md").write_text("\n".join(index_header + index_rows) + "\n")


if __name__ == "__main__":
    main()
