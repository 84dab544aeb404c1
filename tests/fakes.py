"""In-process fakes of the outside systems, with the failures that they have."""

import collections
import enum
import json
import threading

from wagtailstair.core.claim_steps import Answer
from wagtailstair.core.rows import Row
from wagtailstair.exceptions import PlatformConflictError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.exceptions import UpstreamLostError
from wagtailstair.exceptions import UpstreamNotSentError
from wagtailstair.exceptions import UpstreamRefusedError


class WriteFault(enum.Enum):
    """What happens to a transaction; the last three look alike from outside."""

    NONE = "none"
    AWAY = "away"
    REPLY_LOST = "reply_lost"
    REQUEST_LOST = "request_lost"
    DELAYED = "delayed"


class FakeTable:
    """The table service: versions outlive deletes; faults by script."""

    def __init__(self):
        self.value_by_id = {}
        self.version_by_id = collections.Counter()
        self.is_away = False
        self.faults = collections.deque()
        self.delayed = []
        self.transactions = []
        self.reads = 0
        self._lock = threading.Lock()

    def row(self, table, key):
        row_id = (table, key)
        value = self.value_by_id.get(row_id)
        version = 0 if value is None else self.version_by_id[row_id]
        return Row(table, key, version, value)

    def transact(self, conditions, writes):
        with self._lock:
            fault = self.faults.popleft() if self.faults else WriteFault.NONE
            if self.is_away or fault is WriteFault.AWAY:
                raise PlatformUnavailableError("away", where="table")
            self.transactions.append((tuple(conditions), tuple(writes)))
            if fault is WriteFault.REQUEST_LOST:
                raise PlatformUnknownError("lost", where="table")
            if fault is WriteFault.DELAYED:
                self.delayed.append((tuple(conditions), tuple(writes)))
                raise PlatformUnknownError("lost", where="table")
            versions = self._apply(conditions, writes)
            if fault is WriteFault.REPLY_LOST:
                raise PlatformUnknownError("lost", where="table")
        if versions is None:
            raise PlatformConflictError("conflict", where="table")
        return versions

    def land(self, index=0):
        """Let a delayed transaction take effect, if its conditions hold."""
        if self.delayed:
            self._apply(*self.delayed.pop(index % len(self.delayed)))

    def read(self, keys):
        with self._lock:
            self.reads += len(keys)
            if self.is_away:
                raise PlatformUnavailableError("away", where="table")
            return [self.row(table, key) for table, key in keys]

    def scan(self, table, after="", limit=1000):
        with self._lock:
            if self.is_away:
                raise PlatformUnavailableError("away", where="table")
            keys = sorted(k for t, k in self.value_by_id if t == table and k > after)
            return [self.row(table, key) for key in keys[:limit]]

    def _apply(self, conditions, writes):
        for condition in conditions:
            if self.row(condition.table, condition.key).version != condition.version:
                return None
        versions = []
        for write in writes:
            row_id = (write.table, write.key)
            if write.value is None:
                self.value_by_id.pop(row_id, None)
                versions.append(0)
                continue
            self.version_by_id[row_id] += 1
            self.value_by_id[row_id] = json.loads(json.dumps(write.value))
            versions.append(self.version_by_id[row_id])
        return versions


class FakeObjects:
    """The object store."""

    def __init__(self):
        self.body_by_name = {}
        self.is_away = False

    def put(self, name, body):
        if self.is_away:
            raise PlatformUnavailableError("away", where="objects")
        self.body_by_name[name] = body

    def get(self, name):
        if self.is_away or name not in self.body_by_name:
            raise PlatformUnavailableError("away", where="objects")
        return self.body_by_name[name]


class CallFault(enum.Enum):
    """How a call of a plain service ends."""

    NONE = "none"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    REQUEST_LOST = "request_lost"
    REPLY_LOST = "reply_lost"


_ERROR_BY_FAULT = {
    CallFault.NOT_SENT: UpstreamNotSentError,
    CallFault.REFUSED: UpstreamRefusedError,
    CallFault.REQUEST_LOST: UpstreamLostError,
    CallFault.REPLY_LOST: UpstreamLostError,
}


class FakeService:
    """A plain service that records each run."""

    def __init__(self):
        self.runs = []

    def call(self, key, fault=CallFault.NONE, body=b""):
        if fault in (CallFault.NONE, CallFault.REPLY_LOST):
            self.runs.append(key)
        if fault is not CallFault.NONE:
            raise _ERROR_BY_FAULT[fault](fault.value)
        serial = f"{key}#{len(self.runs)}".encode()
        return Answer(201, (("Content-Type", "text/plain"),), serial + body)
