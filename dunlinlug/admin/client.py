"""The commands' side of the administration endpoint: one request to the manager of an INI file."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import msgspec
import trio

from dunlinlug.admin.schemas import ErrorAnswer, RejectionReport
from dunlinlug.admin.token import TokenFileError, read_token
from dunlinlug.config import manager_config
from dunlinlug.errors import DunlinlugError
from dunlinlug.net import http

REQUEST_TIMEOUT = 10.0  # seconds; a heavily loaded decision loop answers within one

Answer = TypeVar("Answer")


class AdminRequestError(DunlinlugError):
    """The manager did not do as asked; has the guard's rejections if these are the reason."""

    def __init__(self, text: str, rejections: Sequence[RejectionReport] = ()) -> None:
        super().__init__(text)
        self.rejections = rejections


def send_request(file: Path, method: str, path: str, payload: object = None) -> object:
    """Send a request to the manager of an INI file and give the JSON of its answer.

    Raises:
        ConfigError: The file cannot be used.
        AdminRequestError: The manager cannot be reached, or it did not do as asked.
    """
    config = manager_config.load_manager_config(file).section(manager_config.AdminConfig)
    if not config.token_file:
        raise AdminRequestError(
            f"{file}: [operators] names no token_file, so the manager opens no endpoint"
        )
    body = b"" if payload is None else json.dumps(payload).encode()
    try:
        token = read_token(Path(config.token_file))
        response = trio.run(_exchange, config.listen, token, method, path, body)
    except (TokenFileError, http.HttpError) as error:
        raise AdminRequestError(str(error)) from None
    except trio.TooSlowError:
        raise AdminRequestError(f"no answer within {REQUEST_TIMEOUT:g} s") from None
    answer: object = json.loads(response.body)
    if response.status != 200:
        error_answer = parse_answer(answer, ErrorAnswer)
        raise AdminRequestError(error_answer.message, error_answer.rejections)
    return answer


def parse_answer(answer: object, answer_type: type[Answer]) -> Answer:
    """Read an answer's JSON into its record.

    Raises:
        AdminRequestError: It does not fit, as that of a manager of another version may not.
    """
    try:
        return msgspec.convert(answer, answer_type)
    except msgspec.ValidationError as error:
        raise AdminRequestError(
            f"the manager's answer is not a {answer_type.__name__}: {error}"
        ) from None


async def _exchange(
    address: tuple[str, int], token: str, method: str, path: str, body: bytes
) -> http.Response:
    client = http.Client(*address, max_idle_connections=0)
    with trio.fail_after(REQUEST_TIMEOUT):
        return await client.request(method, path, {"authorization": f"Bearer {token}"}, body)
