"""Requests for the reports of engines."""

import typing as t

from ..core.replicas import Replica
from ..exceptions import UpstreamError
from ..logs import log_event
from ..platform import engines as engine_wire
from .fetch import ENGINE_ANSWER_BYTES_MAX
from .fetch import Answer
from .fetch import Fetch
from .loop import Loop
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

REPORT_TIMEOUT_S = 0.3
"""Timeout of a report in seconds: a healthy engine responds within milliseconds."""

OK = 200


def fetch_engine_report(
    loop: Loop,
    pool: UpstreamPool,
    replica: Replica,
    on_report: t.Callable[[engine_wire.Report], None],
    on_no_answer: t.Callable[[str], None] = lambda _reason: None,
    on_unreadable: t.Callable[[], None] = lambda: None,
) -> None:
    """Request an engine's report; an unreadable one is logged and dropped.

    :param on_no_answer: called with the reason if the engine does not respond.
    :param on_unreadable: called if it responds with anything else.
    """

    def on_answer(answer: Answer) -> None:
        if answer.status == 0:
            on_no_answer(answer.reason)
            return
        try:
            if answer.status != OK:
                raise UpstreamError(f"status {answer.status}", where=replica.name)
            report = engine_wire.decode_report(answer.body)
        except UpstreamError as error:
            log_event("report_unreadable", level="WARNING", reason=error)
            on_unreadable()
            return
        on_report(report)

    Fetch(
        loop,
        pool,
        Upstream(replica.address, replica.identity),
        engine_wire.report_call(),
        REPORT_TIMEOUT_S,
        on_answer,
        bytes_max=ENGINE_ANSWER_BYTES_MAX,
    )
