"""The way of a completion through the daemon."""

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
from .context import deadline_of
from .context import identify
from .responses import json_response
from .streams import Stream
from .streams import run_whole


def complete(context: Context, request: Request, request_id: str) -> Response:
    """Answer a completion, streamed or whole."""
    context.open_requests.enter()
    handed_over = False
    try:
        chat = request.path == "/v1/chat/completions"
        deadline = deadline_of(context, request)
        identity = identify(context, request)
        limit = context.settings.limits.max_tokens
        asked = completions.parse_completion(request.get_data(), chat=chat, limit=limit)
        check_model(identity.plan, asked.model)
        job = _job(context, request, request_id, identity, asked, deadline)
        opened = charge(context.quota, identity, request_id, asked.work)
        try:
            if not asked.stream:
                return _whole(context, request, job, asked, opened)
            response = _stream(context, request, job, asked, opened)
            handed_over = True
            return response
        finally:
            if not handed_over:
                opened.settle(0.0)
    finally:
        if not handed_over:
            context.open_requests.leave()


def _job(
    context: Context,
    request: Request,
    request_id: str,
    identity: Identity,
    asked: completions.CompletionRequest,
    deadline: float,
) -> Job:
    plan = identity.plan
    priority = choose_priority(plan, request.headers.get("X-Priority", ""))
    data_centres = context.data_centres_of(asked.model)
    if not data_centres:
        raise NoUpstreamError(
            "no engine serves this model now", where=asked.model, retry_after_s=1.0
        )
    log_event(
        "request_admitted",
        request=request_id,
        account=identity.account.name,
        priority=priority.name.lower(),
        model=asked.model,
        lists_version=identity.lists_version,
    )
    return Job(
        request=request_id,
        account=identity.account.name,
        model=asked.model,
        adapter=asked.adapter,
        prompt=asked.prompt,
        max_tokens=asked.max_tokens,
        priority=priority,
        weight=plan.weight,
        entitled=True,
        prompt_tokens=asked.prompt_tokens,
        work=asked.work,
        deadline=deadline,
        data_centres=data_centres,
        prefixes=completions.prefix_hashes(asked.prompt),
    )


def _shape(
    context: Context, request_id: str, asked: completions.CompletionRequest
) -> completions.Shape:
    created = int(context.clock.utcnow().timestamp())
    prefix = "chatcmpl" if asked.chat else "cmpl"
    return completions.Shape(f"{prefix}-{request_id}", created, asked.model, asked.chat)


def _real_work(asked: completions.CompletionRequest, output_tokens: int) -> float:
    return asked.prompt_tokens * completions.WORK_PER_PROMPT_TOKEN + output_tokens


def _note_end(context: Context, job: Job, end: CompletionResult | RequestError) -> None:
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


def _whole(
    context: Context,
    request: Request,
    job: Job,
    asked: completions.CompletionRequest,
    opened: RequestCharge,
) -> Response:
    sock = request.environ["werkzeug.socket"]
    finished = run_whole(context.relays, job, sock)
    opened.settle(_real_work(asked, finished.output_tokens))
    _note_end(context, job, finished)
    shape = _shape(context, job.request, asked)
    return json_response(
        completions.whole_answer(
            shape,
            finished.text,
            finished.reason,
            finished.prompt_tokens,
            finished.output_tokens,
        )
    )


def _stream(
    context: Context,
    request: Request,
    job: Job,
    asked: completions.CompletionRequest,
    opened: RequestCharge,
) -> Response:
    shape = _shape(context, job.request, asked)
    sock = request.environ["werkzeug.socket"]
    limit = context.settings.limits.caller_buffer_bytes
    stream = Stream(context.relays, job, shape, sock, limit)
    stream.wait_for_start()

    def on_end(end: CompletionResult | RequestError) -> None:
        tokens = asked.max_tokens
        if isinstance(end, CompletionResult):
            tokens = end.output_tokens
        opened.settle(_real_work(asked, tokens))
        _note_end(context, job, end)
        context.open_requests.leave()

    response = Response(stream.events(on_end), content_type="text/event-stream")
    response.headers["Cache-Control"] = "no-store"
    return response
