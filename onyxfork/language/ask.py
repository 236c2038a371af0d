"""The command line's client of the administration API.

It sends one statement, the statements of a file, or those typed at a prompt with history.
"""

import asyncio
import json
import os
import ssl
import sys
import time
from pathlib import Path

import aiohttp
from attrs import define

from onyxfork.errors import OnyxforkError, UnavailableError
from onyxfork.language.rows import render_rows
from onyxfork.utils.ids import new_id

__all__ = ["AdminClient", "ask_once", "ask_file", "ask_prompt", "read_token", "send_statement"]

REQUEST_TIMEOUT_S = 6.0
ATTEMPTS_PER_URL = 3
HISTORY_FILE = ".onyxfork_history"


def read_token(token, token_file):
    """Return the token option, or that in the token file, or that in ONYXFORK_TOKEN."""
    if token:
        return token
    if token_file is not None:
        try:
            return Path(token_file).read_text(encoding="utf-8").strip()
        except OSError as error:
            raise OnyxforkError(f"{token_file}: {error.strerror}") from None
    return os.environ.get("ONYXFORK_TOKEN", "")


@define(frozen=True)
class AdminClient:
    """URLs of control instances, and the token and TLS context to send statements with."""

    urls: tuple
    token: str
    tls: ssl.SSLContext | None = None

    @classmethod
    def from_options(cls, urls, token, authority=None):
        """Return a client from the options of the command line."""
        try:
            tls = ssl.create_default_context(cafile=authority) if authority else None
        except (OSError, ssl.SSLError) as error:
            raise OnyxforkError(f"{authority}: {error}") from None
        if tls is not None:
            tls.check_hostname = False
        return cls(tuple(urls), token, tls)


async def send_statement(client, text, command_id):
    """Send a statement to the instances in turn until one answers it.

    Parameters
    ----------
    client : AdminClient
    text : str
    command_id : str
        Sent with every attempt, so that a retried change takes effect only once.

    Returns
    -------
    dict
        The JSON body of the answer.

    Raises
    ------
    UnavailableError
        When no instance answered, or none could carry out the statement.
    """
    headers = {"Authorization": f"Bearer {client.token}"}
    body = {"text": text, "command": command_id}
    reason = "no control instance is configured"
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
        for url in client.urls * ATTEMPTS_PER_URL:
            try:
                address = f"{url.rstrip('/')}/v1/ask"
                async with session.post(address, json=body, ssl=client.tls or True) as response:
                    answer = await response.json()
            except (TimeoutError, aiohttp.ClientError, ValueError) as error:
                reason = f"{url}: {error or type(error).__name__}"
                continue
            if answer.get("code") not in ("unavailable", "unknown"):
                return answer
            reason = f"{url}: {answer.get('message')}"
            await asyncio.sleep(0.2)
    raise UnavailableError(reason)


def print_answer(answer, as_json):
    """Print an answer and return the exit status."""
    ok = answer.get("ok", False)
    if as_json:
        print(json.dumps(answer, indent=2))
        return 0 if ok else 1
    message = answer.get("message") or answer.get("reason") or ""
    if not ok:
        detail = answer.get("detail") or {}
        field = f" (field {detail['field']})" if detail.get("field") else ""
        changed_by = f", changed by {detail['changed_by']}" if detail.get("changed_by") else ""
        print(f"{answer.get('code')}: {message}{field}{changed_by}", file=sys.stderr)
        return 1
    rows = answer.get("rows") or []
    version = (answer.get("detail") or {}).get("version")
    if rows or not (message or version):
        print(render_rows(rows))
    if version:
        print(f"accepted as version {version}")
    if message:
        print(message)
    if answer.get("unanswered"):
        print(f"not answered in time: {', '.join(answer['unanswered'])}", file=sys.stderr)
    if answer.get("truncated"):
        print("the result is truncated: there are more rows", file=sys.stderr)
    return 0


def ask_once(client, text, as_json=False, command_id=None):
    """Send one statement, print the answer and return the exit status."""
    command_id = command_id or new_id(int(time.time() * 1000))
    answer = asyncio.run(send_statement(client, text, command_id))
    return print_answer(answer, as_json)


def ask_file(client, path):
    """Send the statements of a file in order; stop at the first that is refused.

    Returns
    -------
    int
        Exit status: 0, or 1 when a statement was refused.
    """
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except OSError as error:
        raise OnyxforkError(f"{path}: {error.strerror}") from None
    for number, line in enumerate(lines, 1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        if ask_once(client, text) != 0:
            print(f"{path}, line {number}: {text}", file=sys.stderr)
            return 1
    return 0


def ask_prompt(client):
    """Read statements from a prompt and send them until the end of input."""
    from prompt_toolkit import PromptSession
    from prompt_toolkit.history import FileHistory

    prompt = PromptSession(history=FileHistory(str(Path.home() / HISTORY_FILE)))
    while True:
        try:
            text = prompt.prompt("onyxfork> ").strip()
        except (EOFError, KeyboardInterrupt):
            return 0
        if text:
            try:
                ask_once(client, text)
            except UnavailableError as error:
                print(f"unavailable: {error}", file=sys.stderr)
