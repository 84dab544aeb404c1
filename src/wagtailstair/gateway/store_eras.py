"""The era of the platform's store: the number of its returns from an older copy."""

import typing as t

from ..core.store import StoreRows
from ..exceptions import PlatformError
from ..logs import log_event
from ..platform import store as wire
from .fetch import Answer

ERA_STEP_MAX = 1000
"""Largest step of the era that is believed. It rises by one with each return, also of
those that this host has not seen."""


class StoreEras:
    """The newest era that the store or a peer has named.

    ``returns``: number of times that a later era was seen; ``odd``: number of answers
    whose era was unreadable, too high or in the past.
    """

    __slots__ = (
        "_is_confirmed",
        "_listeners",
        "_odd_logged",
        "current",
        "odd",
        "returns",
    )

    def __init__(self) -> None:
        self.current = 0
        self.returns = 0
        self.odd = 0
        # Whether the era has been named twice; the first answer may have an odd one.
        self._is_confirmed = False
        self._odd_logged: bytes | None = None
        self._listeners: list[t.Callable[[], None]] = []

    def add_listener(self, listener: t.Callable[[], None]) -> None:
        """Call a function whenever the store has come back from an older copy."""
        self._listeners.append(listener)

    def decode(self, answer: Answer) -> StoreRows:
        """Return the rows of a response of the store, and apply its era.

        :raises PlatformError: if there is no response, it is not valid or it is of an
            earlier era.
        """
        if answer.status == 0:
            raise PlatformError(answer.reason)
        era = self._apply(wire.find_era(answer.headers))
        return wire.decode_rows(answer.status, answer.body, era)

    def observe(self, era: int, source: str) -> None:
        """Apply an era that the store or a peer names."""
        if era and era == self.current:
            self._is_confirmed = True
        if era <= self.current or not self._is_credible(era):
            return
        before, self.current = self.current, era
        if not before:
            return
        self.returns += 1
        log_event("store_returned", level="WARNING", era=era, before=before, by=source)
        for listener in self._listeners:
            listener()

    def _apply(self, text: bytes | None) -> int:
        """Apply the era of a response; return the era that its rows belong to."""
        if text is None:
            return self.current
        era = wire.parse_era(text)
        if era is None or not self._is_credible(era):
            self._record_odd(text)
            return self.current
        if era < self.current:
            self._record_odd(text)
            if self._is_confirmed:
                raise PlatformError(f"response of era {era}, after era {self.current}")
            self.current = era
        self.observe(era, "store")
        return era

    def _is_credible(self, era: int) -> bool:
        return not self.current or era - self.current <= ERA_STEP_MAX

    def _record_odd(self, text: bytes) -> None:
        """Count an odd era, and log each one once."""
        self.odd += 1
        if text != self._odd_logged:
            self._odd_logged = text
            shown = text[:32].decode("latin-1")
            log_event("store_era_odd", level="WARNING", era=shown, known=self.current)
