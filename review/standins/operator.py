"""An operator's requests to the local HTTP endpoint of a manager."""

import http.client
import json
from typing import Any

TIMEOUT_S = 2.0


def ask(port: int, token: str, method: str, path: str, body: object = None) -> tuple[int, Any]:
    """Return the status and the JSON of the answer; status 0 if there was none."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        headers = {"authorization": f"Bearer {token}"}
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers)
        reply = connection.getresponse()
        return reply.status, json.loads(reply.read() or b"null")
    except (OSError, ValueError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
