"""Parser of the operators' language: from text to typed statements.

A parse error gives the line and column, and what was expected there.
"""

import ast
from functools import cache
from importlib import resources
from typing import Any

from attrs import define, field
from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, VisitError
from result import Err, Ok

__all__ = ["Show", "Explain", "Command", "Condition", "ParseError", "parse"]

MAX_TEXT_CHARACTERS = 4096
TERMINAL_NAMES = {
    "NAME": "a name",
    "KEY": "a key",
    "STRING": "a quoted text",
    "NUMBER": "a number",
    "INT": "a whole number",
    "OPERATOR": "one of = != < <= > >= ~",
    "EQUAL": "=",
    "COMMA": ",",
    "$END": "the end",
    "DIRECTION": "asc or desc",
}


@define(frozen=True)
class ParseError:
    """The position of a syntax error, what was found and what was expected there.

    Lines and columns count from 1.
    """

    line: int
    column: int
    found: str
    expected: tuple

    def __str__(self):
        expected = ", ".join(self.expected)
        return f"line {self.line}, column {self.column}: found {self.found}, expected {expected}"


@define(frozen=True)
class Condition:
    """A comparison of a column with a value; the operator ``~`` means "contains"."""

    column: str
    operator: str
    value: Any


@define(frozen=True)
class Show:
    """A query of one table."""

    table: str
    conditions: tuple = ()
    group_by: tuple = ()
    order_by: str | None = None
    descending: bool = False
    limit: int = 100


@define(frozen=True)
class Explain:
    """A query for the state of one submission and the reasons for it."""

    submission: str


@define(frozen=True)
class Command:
    """A change: `verb` is create, alter, put, delete, drain, return, cancel or remove-member.

    `expected` is the version that the row must have for the change to be accepted.
    """

    verb: str
    table: str
    key: str
    fields: dict = field(factory=dict)
    expected: int | None = None
    dry_run: bool = False


class Builder(Transformer):
    """Builds statements from the parse tree.

    Methods are named after the rules and aliases of the grammar; lark calls them by these names.
    """

    def start(self, items):
        if len(items) == 2:
            command = items[1]
            return Command(
                command.verb, command.table, command.key, command.fields, command.expected, True
            )
        return items[0]

    def dry(self, _):
        return "dry"

    def value(self, items):
        (token,) = items
        if token.type == "STRING":
            return ast.literal_eval(token.value)
        if token.type in ("NUMBER", "INT"):
            return float(token) if "." in token else int(token)
        if token.type in ("TRUE", "FALSE"):
            return token.type == "TRUE"
        return token.value

    def condition(self, items):
        return Condition(str(items[0]), str(items[1]), items[2])

    def where(self, items):
        return ("conditions", tuple(items))

    def group(self, items):
        return ("group_by", tuple(map(str, items)))

    def order(self, items):
        descending = len(items) > 1 and items[1].lower() == "desc"
        return ("order_by", (str(items[0]), descending))

    def limit(self, items):
        return ("limit", int(items[0]))

    def show(self, items):
        parts = dict(items[1:])
        order_by, descending = parts.pop("order_by", (None, False))
        return Show(str(items[0]), order_by=order_by, descending=descending, **parts)

    def explain(self, items):
        return Explain(str(items[0]))

    def assignment(self, items):
        return (str(items[0]), items[1])

    def fields(self, items):
        return ("fields", dict(items))

    set = fields

    def expected(self, items):
        return ("expected", int(items[0]))

    def because(self, items):
        return ("fields", {"reason": ast.literal_eval(items[0].value)})

    def make_command(self, verb, items):
        """Return the command for a verb and the items of its rule: table, key, named parts."""
        return Command(verb, str(items[0]), str(items[1]), **dict(items[2:]))

    def create(self, items):
        return self.make_command("create", items)

    def alter(self, items):
        return self.make_command("alter", items)

    def put(self, items):
        return self.make_command("put", items)

    def delete(self, items):
        return self.make_command("delete", items)

    def drain(self, items):
        return self.make_command("drain", items)

    def return_node(self, items):
        return self.make_command("return", items)

    def cancel(self, items):
        return Command("cancel", "job", str(items[0]))

    def remove_member(self, items):
        return Command("remove-member", "member", str(items[0]))


@cache
def build_parser():
    """Build the parser on the first call and return it."""
    text = resources.files("onyxfork.language").joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", lexer="contextual", propagate_positions=True)


def parse(text):
    """Parse the statement in a text.

    Parameters
    ----------
    text : str

    Returns
    -------
    Result
        ``Ok(Show | Explain | Command)`` or ``Err(ParseError)``.

    Examples
    --------
    >>> parse("show jobs limit 3").ok_value
    Show(table='jobs', conditions=(), group_by=(), order_by=None, descending=False, limit=3)
    >>> print(parse("show jobs limit x").err_value)
    line 1, column 17: found 'x', expected a whole number
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        return Err(
            ParseError(
                1, MAX_TEXT_CHARACTERS, "more text", (f"at most {MAX_TEXT_CHARACTERS} characters",)
            )
        )
    try:
        return Ok(Builder().transform(build_parser().parse(text)))
    except UnexpectedInput as error:
        return Err(make_parse_error(error, text))
    except (VisitError, ValueError) as error:
        return Err(ParseError(1, 1, repr(str(error)), ("a valid value",)))


def make_parse_error(error, text):
    """Return the `ParseError` for an exception of the parser."""
    accepted = getattr(error, "accepts", None) or getattr(error, "expected", None)
    accepted = accepted or getattr(error, "allowed", None) or ()
    expected = tuple(sorted({terminal_name(terminal) for terminal in accepted}))
    token = getattr(error, "token", None)
    at_end = isinstance(error, UnexpectedEOF) or (token is not None and token.type == "$END")
    if at_end:
        lines = text.split("\n")
        return ParseError(len(lines), len(lines[-1]) + 1, "the end", expected)
    if isinstance(error, UnexpectedCharacters):
        found = repr(text[error.pos_in_stream])
    else:
        found = repr(str(token)) if isinstance(token, Token) else "something else"
    return ParseError(error.line, error.column, found, expected)


def terminal_name(terminal):
    """Return the name of a terminal of the grammar for error messages."""
    return TERMINAL_NAMES.get(terminal, terminal.lower())
