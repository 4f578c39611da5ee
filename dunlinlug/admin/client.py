"""The commands' side of the endpoint: one request to the manager that an INI file names."""

import json
from pathlib import Path
from typing import Any

import trio

from dunlinlug.admin.api import TokenFileError, read_token
from dunlinlug.config import manager_config
from dunlinlug.errors import DunlinlugError
from dunlinlug.net import http

REQUEST_TIMEOUT = 10.0  # seconds for an answer: a decision loop in a storm answers within one


class AdminRequestError(DunlinlugError):
    """The manager did not do as asked; `said` is its answer, if there was one."""

    def __init__(self, text: str, response: Any = None) -> None:
        super().__init__(text)
        self.response = response


def send_request(file: Path, method: str, path: str, payload: Any = None) -> Any:
    """The answer's JSON; raises ConfigFault or AskFault."""
    config = manager_config.load_manager_config(file).section(manager_config.AdminConfig)
    if not config.token_file:
        raise AdminRequestError(
            f"{file}: [operators] names no token_file, so the manager opens no endpoint"
        )
    try:
        token = read_token(Path(config.token_file))
        response = trio.run(
            _exchange,
            config.listen,
            token,
            method,
            path,
            b"" if payload is None else json.dumps(payload).encode(),
        )
    except (TokenFileError, http.HttpError) as error:
        raise AdminRequestError(str(error)) from None
    except trio.TooSlowError:
        raise AdminRequestError(f"no answer within {REQUEST_TIMEOUT:g} s") from None
    answer = json.loads(response.body)
    if response.status != 200:
        raise AdminRequestError(answer["error"], answer)
    return answer


async def _exchange(
    address: tuple[str, int], token: str, method: str, path: str, body: bytes
) -> http.Response:
    client = http.Client(*address, max_idle_connections=0)
    with trio.fail_after(REQUEST_TIMEOUT):
        return await client.request(method, path, {"authorization": f"Bearer {token}"}, body)
