"""In-process fakes of external systems, with their possible failures."""

import collections
import enum
import json
import threading

from wagtailstair.core.claim_steps import Answer
from wagtailstair.core.engine import EngineState
from wagtailstair.core.placement import OrderKind
from wagtailstair.core.rows import Row
from wagtailstair.exceptions import PlatformConflictError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.exceptions import UpstreamLostError
from wagtailstair.exceptions import UpstreamNotSentError
from wagtailstair.exceptions import UpstreamRefusedError


class WriteFault(enum.Enum):
    """What happens to a transaction; a client cannot distinguish the last three."""

    NONE = "none"
    AWAY = "away"
    REPLY_LOST = "reply_lost"
    REQUEST_LOST = "request_lost"
    DELAYED = "delayed"


class FakeTable:
    """An in-memory table service; row versions survive deletes.

    ``faults``: the fault of each of the next transactions.
    """

    def __init__(self):
        self.value_by_id = {}
        self.version_by_id = collections.Counter()
        self.is_unavailable = False
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

    def copy(self):
        return dict(self.value_by_id), self.version_by_id.copy()

    def restore(self, copy):
        """Come back from a copy; versions are given out again."""
        values, versions = copy
        self.value_by_id, self.version_by_id = dict(values), versions.copy()

    def transact(self, conditions, writes):
        with self._lock:
            fault = self.faults.popleft() if self.faults else WriteFault.NONE
            if self.is_unavailable or fault is WriteFault.AWAY:
                raise PlatformUnavailableError("unavailable", where="table")
            self.transactions.append((tuple(conditions), tuple(writes)))
            if fault is WriteFault.REQUEST_LOST:
                raise PlatformUnknownError("no reply", where="table")
            if fault is WriteFault.DELAYED:
                self.delayed.append((tuple(conditions), tuple(writes)))
                raise PlatformUnknownError("no reply", where="table")
            versions = self._apply(conditions, writes)
            if fault is WriteFault.REPLY_LOST:
                raise PlatformUnknownError("no reply", where="table")
        if versions is None:
            raise PlatformConflictError("a condition does not hold", where="table")
        return versions

    def land(self, index=0):
        """Apply a delayed transaction if its conditions still hold."""
        if self.delayed:
            self._apply(*self.delayed.pop(index % len(self.delayed)))

    def read(self, keys):
        with self._lock:
            self.reads += len(keys)
            if self.is_unavailable:
                raise PlatformUnavailableError("unavailable", where="table")
            return [self.row(table, key) for table, key in keys]

    def scan(self, table, after="", limit=1000):
        with self._lock:
            if self.is_unavailable:
                raise PlatformUnavailableError("unavailable", where="table")
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
    """An in-memory object store."""

    def __init__(self):
        self.body_by_name = {}
        self.is_unavailable = False

    def put(self, name, data):
        if self.is_unavailable:
            raise PlatformUnavailableError("unavailable", where="objects")
        self.body_by_name[name] = data

    def get(self, name):
        if self.is_unavailable:
            raise PlatformUnavailableError("unavailable", where="objects")
        return self.body_by_name.get(name)


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


class FakeEngine:
    """An engine that executes orders and may check their fencing number."""

    def __init__(self, name, model="", first=0, last=0, **options):
        self.name = name
        self.model, self.version = model, options.get("version", "1" if model else "")
        self.first, self.last = first, last
        self.layers = options.get("layers", 12)
        self.role = options.get("role", "")
        self.adapters = ()
        self.fencing_checked = options.get("fencing_checked", True)
        self.incarnation = "1"
        self.leaving = False
        self.running = 0
        self.fence = 0
        self.orders = []

    def state(self, now=0.0):
        return EngineState(
            name=self.name,
            incarnation=self.incarnation,
            address="127.0.0.1:1",
            data_centre="dc1",
            model=self.model,
            version=self.version,
            role=self.role,
            accelerator="fast",
            first=self.first,
            last=self.last,
            layers=self.layers,
            slots=8,
            running=self.running,
            waiting=0,
            kv_tokens=1000,
            kv_used=0,
            step_s=0.01,
            prefill_tokens_per_s=1000.0,
            leaving=self.leaving,
            fencing_checked=self.fencing_checked,
            order=self.fence,
            as_of=now,
            adapters=tuple(self.adapters),
        )

    def execute_order(self, order, fence, holder=""):
        if fence < self.fence and self.fencing_checked:
            raise UpstreamRefusedError("outdated fencing number", where=self.name)
        self.fence = fence
        self.orders.append((fence, holder, order))
        if order.kind is OrderKind.ROLE:
            self.role = order.role
        elif order.adapter and order.kind is OrderKind.LOAD:
            self.adapters = (*self.adapters, order.adapter)
        elif order.adapter:
            self.adapters = tuple(a for a in self.adapters if a != order.adapter)
        elif order.kind is OrderKind.UNLOAD:
            self.model, self.version, self.adapters = "", "", ()
        else:
            self.model, self.version = order.model, order.version
            self.first, self.last = order.first, order.last
            self.adapters = ()


class FakeFleet:
    """The engines of a data centre, with the interface of `EngineOrders`."""

    def __init__(self, *engines):
        self.engine_by_name = {engine.name: engine for engine in engines}
        self.unreachable = set()

    def states(self, now=0.0):
        return [engine.state(now) for engine in self.engine_by_name.values()]

    def read_state(self, engine):
        if engine in self.unreachable:
            raise UpstreamNotSentError("unreachable", where=engine)
        return self.engine_by_name[engine].state()

    def send_order(self, order, fence, holder, timeout_s, may_send):
        if order.engine in self.unreachable or not may_send():
            raise UpstreamNotSentError("unreachable", where=order.engine)
        self.engine_by_name[order.engine].execute_order(order, fence, holder)
