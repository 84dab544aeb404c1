"""The tree of errors: each layer has its own branch and turns those from below."""

import enum


class Outcome(enum.Enum):
    """What is known about the effect of a request that ended in an error."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class WagtailstairError(Exception):
    """The base of all errors of this project.

    :param message: what happened, for a person; never a key, prompt or answer.
    :param where: the place: a file and key, a host, an upstream, a row.
    """

    code = "internal"
    http_status = 500

    def __init__(self, message: str, *, where: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.where = where

    def __str__(self) -> str:
        if self.where is None:
            return self.message
        return f"{self.where}: {self.message}"


class SettingsError(WagtailstairError):
    """A settings file is unreadable, mistyped or contradicts itself."""

    code = "settings_invalid"


class ListsError(WagtailstairError):
    """The lists, or an edit of them, are not valid."""

    code = "lists_invalid"
    http_status = 400


class EditConflictError(ListsError):
    """Another operator changed the same row first."""

    code = "edit_conflict"
    http_status = 409


class PlatformError(WagtailstairError):
    """A service of the platform could not do what was asked."""

    code = "platform_error"
    http_status = 503


class PlatformUnavailableError(PlatformError):
    """The platform refused or could not be reached; nothing took effect."""

    code = "platform_unavailable"


class PlatformUnknownError(PlatformError):
    """The reply was lost; the request may have taken effect."""

    code = "platform_unknown"


class PlatformConflictError(PlatformError):
    """A condition of the transaction did not hold; nothing took effect."""

    code = "platform_conflict"
    http_status = 409


class UpstreamError(WagtailstairError):
    """An upstream could not serve an attempt."""

    code = "upstream_error"
    http_status = 502


class UpstreamNotSentError(UpstreamError):
    """No byte of the attempt reached the upstream."""

    code = "upstream_not_sent"


class UpstreamRefusedError(UpstreamError):
    """The upstream said that it did not run the attempt."""

    code = "upstream_refused"


class UpstreamLostError(UpstreamError):
    """The attempt was sent and its end is not known."""

    code = "upstream_lost"


class PeerError(WagtailstairError):
    """A message from or to another daemon is not usable."""

    code = "peer_error"


class RequestError(WagtailstairError):
    """A caller's request ends with an error.

    :param outcome: what is known about the effect of the request.
    :param retry_after_s: seconds after which a retry makes sense, if known.
    """

    code = "request_error"
    http_status = 400
    outcome = Outcome.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        where: str | None = None,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, where=where)
        if outcome is not None:
            self.outcome = outcome
        self.retry_after_s = retry_after_s


class InvalidRequestError(RequestError):
    """The request is malformed."""

    code = "invalid_request"


class RequestTooLargeError(RequestError):
    """The body or a header is larger than the settings allow."""

    code = "request_too_large"
    http_status = 413


class NotAuthenticatedError(RequestError):
    """The bearer key is missing or names no account."""

    code = "not_authenticated"
    http_status = 401


class NotEntitledError(RequestError):
    """The account's plan does not include what was asked for."""

    code = "not_entitled"
    http_status = 403


class NotFoundError(RequestError):
    """There is no such path, model or service."""

    code = "not_found"
    http_status = 404


class LimitExceededError(RequestError):
    """The account is over a limit of its plan."""

    code = "limit_exceeded"
    http_status = 429


class QueueFullError(RequestError):
    """The queue has no room, or the deadline can't be met."""

    code = "overloaded"
    http_status = 503


class NotReadyError(RequestError):
    """The daemon has no lists yet, or is shutting down."""

    code = "not_ready"
    http_status = 503


class NoUpstreamError(RequestError):
    """No upstream can serve the request."""

    code = "no_upstream"
    http_status = 503


class DeadlineExceededError(RequestError):
    """The caller's deadline passed."""

    code = "deadline_exceeded"
    http_status = 504


class OutcomeUnknownError(RequestError):
    """The request was sent and its result is not known; it is not run again."""

    code = "outcome_unknown"
    http_status = 502
    outcome = Outcome.UNKNOWN


class CallInProgressError(RequestError):
    """Another call with the same idempotency key has no result yet."""

    code = "call_in_progress"
    http_status = 409
    outcome = Outcome.UNKNOWN


class KeyReusedError(RequestError):
    """The idempotency key was used before with another request."""

    code = "idempotency_key_reused"
    http_status = 422


class CallerGoneError(RequestError):
    """The caller closed the connection before the answer was whole."""

    code = "caller_gone"
    http_status = 499
    outcome = Outcome.UNKNOWN
