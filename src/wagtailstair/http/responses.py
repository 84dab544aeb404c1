"""Builds JSON responses and typed error responses."""

import math
import typing as t

import msgspec
from werkzeug.wrappers import Response

from ..exceptions import RequestError
from ..exceptions import WagtailstairError


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(
        msgspec.json.encode(value), status=status, content_type="application/json"
    )


def error_value(error: WagtailstairError, request_id: str) -> dict[str, t.Any]:
    """Return the JSON value of an error, in the form the `openai` client expects."""
    outcome = None
    if isinstance(error, RequestError):
        outcome = error.outcome.value
    return {
        "error": {
            "message": error.message,
            "type": "wagtailstair_error",
            "code": error.code,
            "outcome": outcome,
            "request_id": request_id,
        }
    }


def error_response(error: WagtailstairError, request_id: str) -> Response:
    """Return the response for an error."""
    response = json_response(error_value(error, request_id), error.http_status)
    response.headers["X-Request-Id"] = request_id
    if isinstance(error, RequestError):
        response.headers["X-Outcome"] = error.outcome.value
        if error.retry_after_s is not None:
            seconds = max(1, math.ceil(error.retry_after_s))
            response.headers["Retry-After"] = str(seconds)
    return response
