"""The choice of a pipeline for one request."""

from ..core.admission.prompt_backlog import Backlog
from ..core.directory import ModelSpec
from ..core.directory import Service
from ..core.engine_costs import kv_capacity
from ..core.pipelines import Path
from ..core.replicas import Replica
from .exchange import Context


class PathFinder:
    """Finds pipelines for a request by its number of tokens.

    :param usage: tokens of the prompt, and the limit of the answer's tokens.
    :param hint: the caller's estimate of the answer's tokens, as it was sent.

    ``avoid``: engines that the request should not use again; ``stalled_heads``: first
    engines that sent no event, used only where no path begins elsewhere; ``tokens``:
    its tokens on each engine.
    """

    __slots__ = (
        "_answer_tokens",
        "_context",
        "_model",
        "_prompt_tokens",
        "_rank",
        "_service",
        "avoid",
        "stalled_heads",
    )

    def __init__(
        self,
        context: Context,
        service: Service,
        usage: tuple[int, int],
        hint: bytes,
        rank: int,
    ) -> None:
        assert service.model is not None
        self._context = context
        self._service = service.name
        self._model: ModelSpec = service.model
        self._prompt_tokens, answer_limit = usage
        self._answer_tokens = (
            float(hint) if hint.isdigit() else self._model.typical_output_tokens
        )
        if answer_limit:
            self._answer_tokens = min(self._answer_tokens, answer_limit)
        self._rank = rank
        self.avoid: set[tuple[str, int]] = set()
        self.stalled_heads: set[tuple[str, int]] = set()

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the prompt."""
        return self._prompt_tokens

    @property
    def tokens(self) -> float:
        """Return the tokens of the prompt and of the expected answer."""
        return self._prompt_tokens + self._answer_tokens

    def choose(self) -> Path | None:
        """Return the best pipeline at present."""
        context = self._context
        return context.pipelines(self._service).choose(
            self._model,
            context.replicas.usable(self._service),
            self._prompt_tokens,
            self._answer_tokens,
            context.loop.now,
            self.avoid,
            self.stalled_heads,
            context.closed_upstreams(),
        )

    def replace(self, path: Path, lost: Replica) -> Path | None:
        """Return a running request's pipeline with other engines for one of it."""
        context = self._context
        return context.pipelines(self._service).replace(
            self._model,
            context.replicas.usable(self._service),
            self._prompt_tokens,
            self._answer_tokens,
            context.loop.now,
            path,
            lost,
            self.avoid,
        )

    def may_begin(self, path: Path) -> bool:
        """Return whether the first engine of a pipeline takes a request now."""
        return path[0].replica.identity not in self._context.closed_upstreams()

    def has_room(self, path: Path) -> bool:
        """Return whether the engines of a pipeline have room for the request."""
        if not self.may_begin(path):
            return False
        pipelines = self._context.pipelines(self._service)
        return pipelines.has_room(self._model, path, self.tokens, self._rank)

    def backlog(self, path: Path) -> Backlog:
        """Return the longest backlogs of unread prompts on a pipeline's engines."""
        return self._context.pipelines(self._service).backlog(self._model, path)

    def kv_fill(self, replica: Replica | None) -> float:
        """Return the estimated share of KV memory in use on an engine, 0 for none."""
        if replica is None:
            return 0.0
        held = self._context.pipelines(self._service).total(replica).token_layers
        return held / max(1.0, kv_capacity(self._model, replica))
