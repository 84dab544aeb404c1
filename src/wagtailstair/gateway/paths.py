"""The pipelines that one request could take."""

from ..core.directory import ModelSpec
from ..core.directory import Service
from ..core.pipelines import Hop
from ..core.pipelines import Path
from ..core.pipelines import kv_capacity
from ..core.replicas import Replica
from .exchange import Context


class PathFinder:
    """Finds pipelines for a request by its size.

    :param usage: the prompt's tokens, and the most tokens of the answer.
    :param hint: the caller's estimate of the answer's tokens, as it was sent.

    ``avoid``: engines that have failed the request; ``tokens``: that it needs.
    """

    __slots__ = (
        "_answer",
        "_context",
        "_model",
        "_prompt",
        "_rank",
        "_service",
        "avoid",
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
        self._prompt, most = usage
        self._answer = (
            float(hint) if hint.isdigit() else self._model.typical_output_tokens
        )
        if most:
            self._answer = min(self._answer, most)
        self._rank = rank
        self.avoid: set[tuple[str, int]] = set()

    @property
    def tokens(self) -> float:
        """Return the tokens of the prompt and of the answer that is expected."""
        return self._prompt + self._answer

    def choose(self, head: Hop | None = None) -> Path | None:
        """Return the best pipeline now, from a first hop on if one is given."""
        context = self._context
        return context.pipelines(self._service).choose(
            self._model,
            context.replicas.usable(self._service),
            self._prompt,
            self._answer,
            context.loop.now,
            self.avoid,
            head,
        )

    def has_room(self, path: Path) -> bool:
        """Tell whether the engines of a pipeline have room for the request."""
        pipelines = self._context.pipelines(self._service)
        return pipelines.has_room(self._model, path, self.tokens, self._rank)

    def fill(self, replica: Replica | None) -> float:
        """Return how full an engine's memory is thought to be; 0 for none."""
        if replica is None:
            return 0.0
        held = self._context.pipelines(self._service).total(replica).token_layers
        return held / max(1.0, kv_capacity(self._model, replica))
