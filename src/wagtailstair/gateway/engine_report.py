"""Reports of engines, asked for and read."""

import typing as t

from ..core.replicas import Replica
from ..exceptions import UpstreamError
from ..logs import log_event
from ..platform import engines as engine_wire
from .fetch import Answer
from .fetch import Fetch
from .loop import Loop
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

REPORT_TIMEOUT_S = 0.3
"""Seconds for a report: an engine that answers does so within milliseconds."""

OK = 200


def fetch_engine_report(
    loop: Loop,
    pool: UpstreamPool,
    replica: Replica,
    on_report: t.Callable[[engine_wire.Report], None],
    on_silence: t.Callable[[str], None] = lambda _reason: None,
) -> None:
    """Ask an engine for its report; an unreadable one is logged and dropped."""

    def on_answer(answer: Answer) -> None:
        if answer.status == 0:
            on_silence(answer.reason)
            return
        try:
            if answer.status != OK:
                raise UpstreamError(f"status {answer.status}", where=replica.name)
            report = engine_wire.decode_report(answer.body)
        except UpstreamError as error:
            log_event("report_unreadable", level="WARNING", reason=error)
            return
        on_report(report)

    Fetch(
        loop,
        pool,
        Upstream(replica.address, replica.identity),
        engine_wire.report_call(),
        REPORT_TIMEOUT_S,
        on_answer,
    )
