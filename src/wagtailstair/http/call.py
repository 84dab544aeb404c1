"""Handles calls to plain services."""

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
from .context import identify
from .context import request_deadline

SERVICES_PREFIX = "/v1/services/"
SERVICE_WORK = 1.0  # work units charged for each call
MAX_KEY_LENGTH = 200
# Headers addressed to the daemon itself; they are not forwarded to the service.
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
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
    """Forward a call to a plain service."""
    context.open_requests.enter()
    try:
        deadline = request_deadline(context, request)
        identity = identify(context, request)
        call = _service_call(request, request_id, identity, deadline)
        use = identity.plan.service_by_name.get(call.service)
        if use is None:
            raise NotFoundError("service not in the account's plan", where=call.service)
        is_repeatable = request.method in use.repeatable
        if not is_repeatable and not call.idempotency_key:
            raise InvalidRequestError(
                "method not repeatable: expected an Idempotency-Key header",
                where="Idempotency-Key",
            )
        quota_charge = charge(context.quota, identity, request_id, SERVICE_WORK)
        try:
            if is_repeatable:
                repeatable = dataclasses.replace(call, repeatable=True)
                answer = context.services.call_repeatable(repeatable)
            else:
                answer = context.services.call_once(call)
        finally:
            quota_charge.settle(SERVICE_WORK)
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
        if name.lower() not in NOT_FORWARDED_HEADERS:
            headers.append((name, value))
    target = _raw_target(request, service, path)
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


def _raw_target(request: Request, service: str, path: str) -> str:
    """Return path and query unchanged, with the caller's percent-encoding."""
    raw: str = request.environ.get("REQUEST_URI", "")
    raw_path, _, query = raw.partition("?")
    if raw_path.startswith(SERVICES_PREFIX):
        raw_service, _, path = raw_path[len(SERVICES_PREFIX) :].partition("/")
        if raw_service != service:
            # An encoded slash would make the raw and the decoded path differ on
            # where the name ends.
            raise InvalidRequestError("percent-encoded characters in the service name")
    return f"{path}?{query}" if query else path
