"""The way of a plain service's call through the daemon."""

import dataclasses

from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from ..admission import Identity
from ..admission import charge
from ..exceptions import InvalidRequestError
from ..exceptions import NotFoundError
from ..logs import log_event
from ..services import HOP_BY_HOP_HEADERS
from ..services import ServiceCall
from .context import Context
from .context import deadline_of
from .context import identify

SERVICES_PREFIX = "/v1/services/"
SERVICE_WORK = 1.0
MAX_KEY_LENGTH = 200
# Headers that end at the daemon: they speak of the caller to it alone.
OWN_HEADERS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "host",
    "idempotency-key",
    "x-account",
    "x-attempt",
    "x-priority",
    "x-request-id",
    "x-timeout",
}


def call_service(context: Context, request: Request, request_id: str) -> Response:
    """Pass a call on to a plain service."""
    context.open_requests.enter()
    try:
        deadline = deadline_of(context, request)
        identity = identify(context, request)
        call = _service_call(request, request_id, identity, deadline)
        use = identity.plan.service_by_name.get(call.service)
        if use is None:
            raise NotFoundError("no such service in the plan", where=call.service)
        is_repeatable = request.method in use.repeatable
        if not is_repeatable and not call.idempotency_key:
            raise InvalidRequestError(
                "this call may not be repeated: an Idempotency-Key is needed",
                where="Idempotency-Key",
            )
        opened = charge(context.quota, identity, request_id, SERVICE_WORK)
        try:
            if is_repeatable:
                repeatable = dataclasses.replace(call, repeatable=True)
                answer = context.services.call_repeatable(repeatable)
            else:
                answer = context.services.call_once(call)
        finally:
            opened.settle(SERVICE_WORK)
        context.metrics.count("service_answers", service=call.service)
        log_event("service_answered", request=request_id, status=answer.status)
        response = Response(answer.body, status=answer.status)
        response.headers.clear()
        for name, value in answer.headers:
            response.headers.add(name, value)
        response.headers["Content-Length"] = str(len(answer.body))
        return response
    finally:
        context.open_requests.leave()


def _service_call(
    request: Request, request_id: str, identity: Identity, deadline: float
) -> ServiceCall:
    rest = request.path[len(SERVICES_PREFIX) :]
    service, _, path = rest.partition("/")
    key = request.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_LENGTH:
        raise InvalidRequestError(
            f"expected at most {MAX_KEY_LENGTH} characters", where="Idempotency-Key"
        )
    headers = []
    for name, value in request.headers:
        if name.lower() not in OWN_HEADERS:
            headers.append((name, value))
    target = _quoted_target(request, service, path)
    return ServiceCall(
        request=request_id,
        account=identity.account.name,
        service=service,
        method=request.method,
        target=target,
        headers=tuple(headers),
        body=request.get_data(),
        deadline=deadline,
        idempotency_key=key,
    )


def _quoted_target(request: Request, service: str, path: str) -> str:
    """Return path and query as they came, so that the upstream sees the same."""
    raw: str = request.environ.get("REQUEST_URI", "")
    raw_path, _, query = raw.partition("?")
    if raw_path.startswith(SERVICES_PREFIX):
        raw_service, _, path = raw_path[len(SERVICES_PREFIX) :].partition("/")
        if raw_service != service:
            # A quoted slash would make the two readings of the path differ.
            raise InvalidRequestError("quoted characters in the service's name")
    return f"{path}?{query}" if query else path
