"""Handles completion requests."""

from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from ..admission import Identity
from ..admission import RequestCharge
from ..admission import charge
from ..admission import check_model
from ..admission import choose_priority
from ..exceptions import NoUpstreamError
from ..exceptions import RequestError
from ..jobs import CompletionResult
from ..jobs import Job
from ..logs import log_event
from . import completions
from .context import Context
from .context import identify
from .context import request_deadline
from .responses import json_response
from .streams import Stream
from .streams import run_to_completion


def complete(context: Context, request: Request, request_id: str) -> Response:
    """Run a completion and respond with a stream or with one JSON body."""
    context.open_requests.enter()
    is_handed_over = False  # to the stream, which then does the clean-up
    try:
        chat = request.path == "/v1/chat/completions"
        deadline = request_deadline(context, request)
        identity = identify(context, request)
        limit = context.settings.limits.max_tokens
        completion = completions.parse_completion(
            request.get_data(), chat=chat, limit=limit
        )
        check_model(identity.plan, completion.model)
        job = _make_job(context, request, request_id, identity, completion, deadline)
        quota_charge = charge(context.quota, identity, request_id, completion.work)
        try:
            if not completion.stream:
                return _respond_unstreamed(
                    context, request, job, completion, quota_charge
                )
            response = _respond_streamed(
                context, request, job, completion, quota_charge
            )
            is_handed_over = True
            return response
        finally:
            if not is_handed_over:
                quota_charge.settle(0.0)
    finally:
        if not is_handed_over:
            context.open_requests.leave()


def _make_job(
    context: Context,
    request: Request,
    request_id: str,
    identity: Identity,
    completion: completions.CompletionRequest,
    deadline: float,
) -> Job:
    plan = identity.plan
    priority = choose_priority(plan, request.headers.get("X-Priority", ""))
    data_centres = context.data_centres_of(completion.model)
    if not data_centres:
        raise NoUpstreamError(
            "no engine serves this model at present",
            where=completion.model,
            retry_after_s=1.0,
        )
    log_event(
        "request_admitted",
        request=request_id,
        account=identity.account.name,
        priority=priority.name.lower(),
        model=completion.model,
        lists_version=identity.lists_version,
    )
    return Job(
        request=request_id,
        account=identity.account.name,
        model=completion.model,
        adapter=completion.adapter,
        prompt=completion.prompt,
        max_tokens=completion.max_tokens,
        priority=priority,
        weight=plan.weight,
        entitled=True,
        prompt_tokens=completion.prompt_tokens,
        work=completion.work,
        deadline=deadline,
        data_centres=data_centres,
        prefixes=completions.prefix_hashes(completion.prompt),
    )


def _make_response_fields(
    context: Context, request_id: str, completion: completions.CompletionRequest
) -> completions.ResponseFields:
    created = int(context.clock.utcnow().timestamp())
    prefix = "chatcmpl" if completion.chat else "cmpl"
    return completions.ResponseFields(
        f"{prefix}-{request_id}", created, completion.model, completion.chat
    )


def _actual_work(
    completion: completions.CompletionRequest, output_tokens: int
) -> float:
    return completion.prompt_tokens * completions.WORK_PER_PROMPT_TOKEN + output_tokens


def _record_end(
    context: Context, job: Job, end: CompletionResult | RequestError
) -> None:
    priority = job.priority.name.lower()
    if isinstance(end, CompletionResult):
        context.metrics.count("answers", priority=priority)
        context.metrics.count("tokens", end.output_tokens, priority=priority)
        log_event("request_answered", request=job.request, tokens=end.output_tokens)
        return
    context.metrics.count("errors", code=end.code)
    log_event(
        "stream_failed",
        level="WARNING",
        request=job.request,
        code=end.code,
        outcome=end.outcome.value,
    )


def _respond_unstreamed(
    context: Context,
    request: Request,
    job: Job,
    completion: completions.CompletionRequest,
    quota_charge: RequestCharge,
) -> Response:
    sock = request.environ["werkzeug.socket"]
    finished = run_to_completion(context.relays, job, sock)
    quota_charge.settle(_actual_work(completion, finished.output_tokens))
    _record_end(context, job, finished)
    fields = _make_response_fields(context, job.request, completion)
    return json_response(
        completions.completion_body(
            fields,
            finished.text,
            finished.reason,
            finished.prompt_tokens,
            finished.output_tokens,
        )
    )


def _respond_streamed(
    context: Context,
    request: Request,
    job: Job,
    completion: completions.CompletionRequest,
    quota_charge: RequestCharge,
) -> Response:
    fields = _make_response_fields(context, job.request, completion)
    sock = request.environ["werkzeug.socket"]
    limit = context.settings.limits.caller_buffer_bytes
    stream = Stream(context.relays, job, fields, sock, limit)
    stream.wait_for_start()

    def on_end(end: CompletionResult | RequestError) -> None:
        tokens = completion.max_tokens
        if isinstance(end, CompletionResult):
            tokens = end.output_tokens
        quota_charge.settle(_actual_work(completion, tokens))
        _record_end(context, job, end)
        context.open_requests.leave()

    response = Response(stream.events(on_end), content_type="text/event-stream")
    response.headers["Cache-Control"] = "no-store"
    return response
