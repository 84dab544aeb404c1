"""The table service: conditional transactions over versioned rows."""

import collections
import time
import typing as t

from aiohttp import web

from .base import Json
from .base import Standin
from .base import TokenBucket
from .base import abort_connection
from .base import new_records

READS_PER_S = 2000.0
WRITES_PER_S = 300.0
MAX_SCAN_ROWS = 1000

RowId = tuple[str, str]


class Table(Standin):
    """Stores rows, whose version numbers continue after a delete."""

    def __init__(self, name: str, config: Json) -> None:
        super().__init__(name, config)
        self.switches.update(
            down=False,
            lose_replies=0,
            lose_requests=0,
            reads_per_s=float(config.get("reads_per_s", READS_PER_S)),
            writes_per_s=float(config.get("writes_per_s", WRITES_PER_S)),
        )
        self._value_by_id: dict[RowId, t.Any] = {}
        self._version_by_id: dict[RowId, int] = {}
        self._reads = TokenBucket(self.switches["reads_per_s"])
        self._writes = TokenBucket(self.switches["writes_per_s"])
        self._counts: collections.Counter[str] = collections.Counter()
        self._reads_by_second: collections.Counter[int] = collections.Counter()
        self._writes_by_second: collections.Counter[int] = collections.Counter()
        self._history = new_records()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the protocol."""
        return [
            web.post("/v1/transact", self._handle_transact),
            web.post("/v1/read", self._handle_read),
            web.post("/v1/scan", self._handle_scan),
        ]

    def records(self) -> Json:
        """Return row counts, peak rates and the transaction history."""
        return {
            "counts": dict(self._counts),
            "peak_reads_per_s": max(self._reads_by_second.values(), default=0),
            "peak_writes_per_s": max(self._writes_by_second.values(), default=0),
            "history": list(self._history),
        }

    def apply_switches(self, changes: Json) -> None:
        """Apply new rates; ``down`` closes the port, or answers 503 if set to "503"."""
        if "reads_per_s" in changes:
            self._reads.set_rate(self.switches["reads_per_s"])
        if "writes_per_s" in changes:
            self._writes.set_rate(self.switches["writes_per_s"])
        if "down" in changes:
            self.switches["unavailable"] = self.switches["down"] == "503"
            self.switches["dead"] = self.switches["down"] not in (False, "503")

    def _row(self, row_id: RowId) -> Json:
        value = self._value_by_id.get(row_id)
        version = self._version_by_id[row_id] if row_id in self._value_by_id else 0
        return {
            "table": row_id[0],
            "key": row_id[1],
            "version": version,
            "value": value,
        }

    def _transact(self, body: Json) -> Json:
        conflicts = []
        for condition in body.get("conditions", []):
            row = self._row((condition["table"], condition["key"]))
            if row["version"] == condition["version"]:
                continue
            row.pop("value")
            conflicts.append(row)
        if conflicts:
            return {"conflicts": conflicts}
        return {"versions": [self._write(write) for write in body.get("writes", [])]}

    def _write(self, write: Json) -> int:
        row_id = (write["table"], write["key"])
        if write["value"] is None:
            self._value_by_id.pop(row_id, None)
            return 0
        self._value_by_id[row_id] = write["value"]
        self._version_by_id[row_id] = self._version_by_id.get(row_id, 0) + 1
        return self._version_by_id[row_id]

    def _refuse(self, wait_s: float) -> web.Response:
        self._counts["refused"] += 1
        return web.json_response(
            {"error": "rate"}, status=429, headers={"Retry-After": f"{wait_s:.3f}"}
        )

    def _count(self, kind: str, rows: int) -> None:
        by_second = self._reads_by_second if kind == "reads" else self._writes_by_second
        self._counts[kind] += rows
        by_second[int(time.monotonic())] += rows

    async def _handle_transact(self, request: web.Request) -> web.Response:
        if self.consume_switch("lose_requests"):
            return abort_connection(request)
        body = await request.json()
        rows = max(1, len(body.get("writes", [])))
        wait_s = self._writes.try_take(rows)
        if wait_s > 0:
            return self._refuse(wait_s)
        self._count("writes", rows)
        outcome = self._transact(body)
        lost = self.consume_switch("lose_replies")
        entry = {"at": time.monotonic(), "lost": lost, **body, **outcome}
        self._history.append(entry)
        if lost:
            return abort_connection(request)
        status = 409 if "conflicts" in outcome else 200
        return web.json_response(outcome, status=status)

    async def _handle_read(self, request: web.Request) -> web.Response:
        body = await request.json()
        row_ids = [(table, key) for table, key in body["keys"]]
        wait_s = self._reads.try_take(max(1, len(row_ids)))
        if wait_s > 0:
            return self._refuse(wait_s)
        self._count("reads", max(1, len(row_ids)))
        return web.json_response({"rows": [self._row(row_id) for row_id in row_ids]})

    async def _handle_scan(self, request: web.Request) -> web.Response:
        body = await request.json()
        limit = min(int(body.get("limit", MAX_SCAN_ROWS)), MAX_SCAN_ROWS)
        after = body.get("after", "")
        row_ids = sorted(
            row_id
            for row_id in self._value_by_id
            if row_id[0] == body["table"] and row_id[1] > after
        )[:limit]
        wait_s = self._reads.try_take(max(1, len(row_ids)))
        if wait_s > 0:
            return self._refuse(wait_s)
        self._count("reads", max(1, len(row_ids)))
        return web.json_response({"rows": [self._row(row_id) for row_id in row_ids]})
