"""The hierarchy of errors; each layer converts errors of lower layers to its own."""

import enum


class Outcome(enum.Enum):
    """Whether a request that ended in an error may have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class WagtailstairError(Exception):
    """The base class of all errors of this project.

    :param message: a description for people; never holds a key, prompt or answer.
    :param where: the file and key, host, upstream or row that the error concerns.
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
    """A settings file can't be read, or its settings are invalid or inconsistent."""

    code = "settings_invalid"


class ListsError(WagtailstairError):
    """The lists, or an edit of them, are invalid."""

    code = "lists_invalid"
    http_status = 400


class EditConflictError(ListsError):
    """Another operator has changed the row since it was read."""

    code = "edit_conflict"
    http_status = 409


class PlatformError(WagtailstairError):
    """A service of the platform could not complete a call."""

    code = "platform_error"
    http_status = 503


class PlatformUnavailableError(PlatformError):
    """The platform refused the call or could not be reached; nothing took effect."""

    code = "platform_unavailable"


class PlatformUnknownError(PlatformError):
    """The response was lost; the request may have taken effect."""

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
    """The upstream answered that it did not run the attempt."""

    code = "upstream_refused"


class UpstreamLostError(UpstreamError):
    """The attempt was sent and its outcome is unknown."""

    code = "upstream_lost"


class PeerError(WagtailstairError):
    """An exchange with another daemon failed, or one of its messages is invalid."""

    code = "peer_error"


class RequestError(WagtailstairError):
    """A caller's request ends with an error.

    :param outcome: whether the request may have run.
    :param retry_after_s: seconds after which a retry may succeed, if known.
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
    """The bearer key is missing or belongs to no account."""

    code = "not_authenticated"
    http_status = 401


class NotEntitledError(RequestError):
    """The account's plan does not include the requested resource."""

    code = "not_entitled"
    http_status = 403


class NotFoundError(RequestError):
    """There is no such path, model or service."""

    code = "not_found"
    http_status = 404


class LimitExceededError(RequestError):
    """The account has exceeded a limit of its plan."""

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
    """The request was sent and its result is unknown; it is not retried."""

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
    """The caller closed the connection before the answer was complete."""

    code = "caller_gone"
    http_status = 499
    outcome = Outcome.UNKNOWN
