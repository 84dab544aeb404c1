"""Handlers for operators, load balancers and peers."""

from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from .context import Context
from .context import identify
from .responses import json_response


def list_models(context: Context, request: Request, request_id: str) -> Response:
    """List the models of the caller's plan."""
    identity = identify(context, request)
    models = []
    for name in identity.plan.models:
        models.append({"id": name, "object": "model", "created": 0, "owned_by": ""})
    return json_response({"object": "list", "data": models})


def livez(context: Context, request: Request, request_id: str) -> Response:
    """Report that the process is alive."""
    return json_response({"live": True})


def readyz(context: Context, request: Request, request_id: str) -> Response:
    """Report whether the daemon accepts new requests."""
    is_ready = context.is_ready()
    return json_response({"ready": is_ready}, 200 if is_ready else 503)


def metrics(context: Context, request: Request, request_id: str) -> Response:
    """Render the metrics."""
    body, headers = context.metrics.render()
    return Response(body, headers=headers)


def status(context: Context, request: Request, request_id: str) -> Response:
    """Report the state of the daemon, its peers and its upstreams."""
    status = context.status()
    status["open_requests"] = context.open_requests.count
    return json_response(status)


def peer_lists(context: Context, request: Request, request_id: str) -> Response:
    """Serve the lists to a peer."""
    return context.peer_lists(request)
