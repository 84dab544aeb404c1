"""The WSGI application: routes, and errors turned into answers."""

import collections.abc
import typing as t
import uuid

from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from ..exceptions import InvalidRequestError
from ..exceptions import NotFoundError
from ..exceptions import OutcomeUnknownError
from ..exceptions import RequestError
from ..exceptions import RequestTooLargeError
from ..exceptions import WagtailstairError
from ..logs import error_location
from ..logs import log_event
from . import operators
from .call import SERVICES_PREFIX
from .call import call_service
from .complete import complete
from .context import Context
from .context import Handler
from .responses import error_response

HANDLER_BY_ROUTE: dict[tuple[str, str], Handler] = {
    ("GET", "/livez"): operators.livez,
    ("GET", "/metrics"): operators.metrics,
    ("GET", "/peer/lists"): operators.peer_lists,
    ("GET", "/readyz"): operators.readyz,
    ("GET", "/status"): operators.status,
    ("GET", "/v1/models"): operators.list_models,
    ("POST", "/v1/chat/completions"): complete,
    ("POST", "/v1/completions"): complete,
}


def _find_handler(request: Request) -> Handler:
    handler = HANDLER_BY_ROUTE.get((request.method, request.path))
    if handler is not None:
        return handler
    if request.path.startswith(SERVICES_PREFIX):
        return call_service
    raise NotFoundError("no such path", where=request.path)


def _from_werkzeug(error: HTTPException) -> RequestError:
    if error.code == RequestTooLargeError.http_status:
        return RequestTooLargeError("the body is larger than the limit")
    return InvalidRequestError(error.name)


def _check_headers(request: Request, limit: int) -> None:
    size = 0
    for name, value in request.headers:
        size += len(name) + len(value)
    if size > limit:
        raise RequestTooLargeError("the headers are larger than the limit")


class App:
    """Serves callers, operators and peers."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def __call__(
        self, environ: dict[str, t.Any], start_response: t.Any
    ) -> collections.abc.Iterable[bytes]:
        """Serve one request."""
        request = Request(environ)
        request.max_content_length = self._context.settings.limits.body_bytes
        request_id = uuid.uuid4().hex
        response = self._respond(request, request_id)
        response.headers["X-Request-Id"] = request_id
        return response(environ, start_response)

    def _respond(self, request: Request, request_id: str) -> Response:
        try:
            _check_headers(request, self._context.settings.limits.header_bytes)
            return _find_handler(request)(self._context, request, request_id)
        except WagtailstairError as error:
            return self._on_error(error, request_id)
        except HTTPException as error:
            return self._on_error(_from_werkzeug(error), request_id)
        except Exception as error:
            log_event(
                "request_crashed",
                level="ERROR",
                request=request_id,
                error=error_location(error),
            )
            unknown = OutcomeUnknownError("an internal error")
            return self._on_error(unknown, request_id)

    def _on_error(self, error: WagtailstairError, request_id: str) -> Response:
        self._context.metrics.count("errors", code=error.code)
        outcome = error.outcome.value if isinstance(error, RequestError) else "none"
        log_event(
            "request_refused",
            request=request_id,
            code=error.code,
            outcome=outcome,
            status=error.http_status,
        )
        return error_response(error, request_id)
