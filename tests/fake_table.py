"""An in-memory table service with scripted faults."""

import collections
import json

from wagtailstair.core.rows import Condition
from wagtailstair.core.rows import Row
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.stores.table import TransactionConflictError


class CrashError(Exception):
    """Simulates a crash of the operator's process."""


class FakeTable:
    """An in-memory table with the semantics of the table service.

    ``before_call``: called with the kind of each call before it runs; returns
    the fault to inject, or ``None``.
    """

    def __init__(self):
        self.before_call = lambda kind: None
        self.value_by_key = {}
        self.version_by_key = collections.Counter()
        self.in_flight = []
        self.calls = collections.Counter()

    def _begin_call(self, kind):
        self.calls[kind] += 1
        fault = self.before_call(kind)
        if fault == "crash_before":
            raise CrashError
        if fault == "unavailable":
            raise PlatformUnavailableError("refused")
        return fault

    def row(self, key):
        if key not in self.value_by_key:
            return Row(*key, 0, None)
        value = json.loads(self.value_by_key[key])
        return Row(*key, self.version_by_key[key], value)

    def keys(self, table):
        return sorted(key for kind, key in self.value_by_key if kind == table)

    def _apply(self, conditions, writes):
        rows = [self.row((item.table, item.key)) for item in conditions]
        conflicts = tuple(
            Condition(row.table, row.key, row.version)
            for row, condition in zip(rows, conditions, strict=True)
            if row.version != condition.version
        )
        if conflicts:
            raise TransactionConflictError(conflicts)
        versions = []
        for write in writes:
            key = (write.table, write.key)
            if write.value is None:
                self.value_by_key.pop(key, None)
                versions.append(0)
                continue
            self.value_by_key[key] = json.dumps(write.value)
            self.version_by_key[key] += 1
            versions.append(self.version_by_key[key])
        return tuple(versions)

    def deliver(self):
        """Apply the oldest delayed request; its sender has already failed."""
        if not self.in_flight:
            return
        try:
            self._apply(*self.in_flight.pop(0))
        except TransactionConflictError:
            return

    def transact(self, conditions, writes):
        fault = self._begin_call("transact")
        if fault == "lose_request":
            raise PlatformUnknownError("lost")
        if fault == "delay":
            self.in_flight.append((conditions, writes))
            raise PlatformUnknownError("lost")
        if fault == "lose_reply":
            try:
                self._apply(conditions, writes)
            finally:
                raise PlatformUnknownError("lost")
        versions = self._apply(conditions, writes)
        if fault == "crash_after":
            raise CrashError
        return versions

    def read(self, keys):
        self._begin_call("read")
        return [self.row(tuple(key)) for key in keys]

    def scan(self, table, after=""):
        while True:
            self._begin_call("scan")
            keys = [key for key in self.keys(table) if key > after][:2]
            for key in keys:
                yield self.row((table, key))
            if len(keys) < 2:
                return
            after = keys[-1]
