"""Client of the administration endpoint: sends one request to the manager of an INI file."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import msgspec
import trio

from dunlinlug.admin.schemas import ErrorAnswer, RejectionReport
from dunlinlug.admin.token import TokenFileError, read_token
from dunlinlug.bounded_values import OutOfBoundsError, parse_json
from dunlinlug.config import manager_config
from dunlinlug.errors import DunlinlugError
from dunlinlug.net import http

REQUEST_TIMEOUT = 10.0  # seconds; a heavily loaded decision loop answers within one second

Answer = TypeVar("Answer")


class AdminRequestError(DunlinlugError):
    """A request that failed; `rejections` are the guard's, if it rejected the request."""

    def __init__(self, text: str, rejections: Sequence[RejectionReport] = ()) -> None:
        super().__init__(text)
        self.rejections = rejections


def send_request(file: Path, method: str, path: str, payload: object = None) -> object:
    """Send a request to the manager of an INI file and return the decoded JSON of its answer.

    Raises:
        ConfigError: The file cannot be used.
        AdminRequestError: The manager cannot be reached, or it answered with an error.
    """
    config = manager_config.load_manager_config(file).section(manager_config.AdminConfig)
    if not config.token_file:
        raise AdminRequestError(
            f"{file}: [operators] has no token_file, so the manager serves no admin endpoint"
        )
    body = b"" if payload is None else json.dumps(payload).encode()
    try:
        token = read_token(Path(config.token_file))
        response = trio.run(_exchange, config.listen, token, method, path, body)
    except (TokenFileError, http.HttpError) as error:
        raise AdminRequestError(str(error)) from None
    except trio.TooSlowError:
        raise AdminRequestError(
            f"the manager did not answer within {REQUEST_TIMEOUT:g} s"
        ) from None
    try:
        answer: object = parse_json(response.body)
    except OutOfBoundsError as error:
        raise AdminRequestError(f"the manager's answer is not JSON: {error}") from None
    if response.status != 200:
        error_answer = parse_answer(answer, ErrorAnswer)
        raise AdminRequestError(error_answer.message, error_answer.rejections)
    return answer


def parse_answer(answer: object, answer_type: type[Answer]) -> Answer:
    """Convert an answer's decoded JSON to its record.

    Raises:
        AdminRequestError: The answer does not match the record, for example because the manager
            runs another version.
    """
    try:
        return msgspec.convert(answer, answer_type)
    except msgspec.ValidationError as error:
        raise AdminRequestError(
            f"the manager's answer is not a valid {answer_type.__name__}: {error}"
        ) from None


async def _exchange(
    address: tuple[str, int], token: str, method: str, path: str, body: bytes
) -> http.Response:
    client = http.Client(*address, max_idle_connections=0)
    with trio.fail_after(REQUEST_TIMEOUT):
        return await client.request(method, path, {"authorization": f"Bearer {token}"}, body)
