"""The commands' side of the endpoint: one request to the manager that an INI file names."""

import json
from pathlib import Path
from typing import Any

import trio

from dunlinlug import terms
from dunlinlug.net import http
from dunlinlug.operators.office import TokenFault, read_token

WITHIN = 10.0  # seconds for an answer: a decision loop in a storm answers within one


class AskFault(Exception):
    """The manager did not do as asked; `said` is its answer, if there was one."""

    def __init__(self, text: str, said: Any = None) -> None:
        super().__init__(text)
        self.said = said


def ask(file: Path, method: str, path: str, word: Any = None) -> Any:
    """The answer's JSON; raises ConfigFault or AskFault."""
    place = terms.read(file).one(terms.Operators)
    if not place.token_file:
        raise AskFault(f"{file}: [operators] names no token_file, so the manager opens no endpoint")
    try:
        token = read_token(Path(place.token_file))
        reply = trio.run(
            _ask,
            place.listen,
            token,
            method,
            path,
            b"" if word is None else json.dumps(word).encode(),
        )
    except (TokenFault, http.HttpFault) as fault:
        raise AskFault(str(fault)) from None
    except trio.TooSlowError:
        raise AskFault(f"no answer within {WITHIN:g} s") from None
    said = json.loads(reply.body)
    if reply.status != 200:
        raise AskFault(said["error"], said)
    return said


async def _ask(
    place: tuple[str, int], token: str, method: str, path: str, body: bytes
) -> http.Reply:
    client = http.Client(*place, idle_most=0)
    with trio.fail_after(WITHIN):
        return await client.ask(method, path, {"authorization": f"Bearer {token}"}, body)
