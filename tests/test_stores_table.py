import json

import pytest

from tests.tiny_server import serving
from wagtailstair.core.rows import Condition
from wagtailstair.core.rows import Row
from wagtailstair.core.rows import Write
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.stores import table as table_module
from wagtailstair.stores.hosts import read_hosts
from wagtailstair.stores.objects import ObjectClient
from wagtailstair.stores.table import TableClient
from wagtailstair.stores.table import TransactionConflictError
from wagtailstair.stores.weights import fetch_weights

ROW = {"table": "plans", "key": "a", "version": 3, "value": {"x": 1}}


class TestTransact:
    def test_sends_conditions_and_writes(self):
        with serving(lambda *_: (200, {"versions": [4, 0]})) as server:
            versions = TableClient(server.url).transact(
                [Condition("plans", "a", 3)],
                [Write("plans", "a", {"x": 2}), Write("plans", "b", None)],
            )
        assert versions == (4, 0)
        method, path, body = server.requests[0]
        assert (method, path) == ("POST", "/v1/transact")
        assert json.loads(body) == {
            "conditions": [{"table": "plans", "key": "a", "version": 3}],
            "writes": [
                {"table": "plans", "key": "a", "value": {"x": 2}},
                {"table": "plans", "key": "b", "value": None},
            ],
        }

    def test_conflict_error_names_the_rows(self):
        conflict = {"table": "plans", "key": "a", "version": 5}
        with (
            serving(lambda *_: (409, {"conflicts": [conflict]})) as server,
            pytest.raises(TransactionConflictError, match="plans/a") as caught,
        ):
            TableClient(server.url).transact([], [])
        assert caught.value.conflicts == (Condition("plans", "a", 5),)

    @pytest.mark.parametrize("reply", [{}, {"versions": []}, {"versions": ["1"]}])
    def test_outcome_is_unknown_after_a_malformed_reply(self, reply):
        with (
            serving(lambda *_: (200, reply)) as server,
            pytest.raises(PlatformUnknownError),
        ):
            TableClient(server.url).transact([], [Write("plans", "a", None)])


class TestRead:
    def test_returns_rows(self):
        absent = {"table": "plans", "key": "b", "version": 0, "value": None}
        with serving(lambda *_: (200, {"rows": [ROW, absent]})) as server:
            rows = TableClient(server.url).read([("plans", "a"), ("plans", "b")])
        assert rows == [Row("plans", "a", 3, {"x": 1}), Row("plans", "b", 0, None)]

    @pytest.mark.parametrize("rows", [[], [ROW, ROW], [ROW | {"key": "b"}]])
    def test_reply_with_other_rows_is_an_error(self, rows):
        with (
            serving(lambda *_: (200, {"rows": rows})) as server,
            pytest.raises(PlatformUnavailableError),
        ):
            TableClient(server.url).read([("plans", "a")])

    def test_refused_read_is_retried_up_to_read_attempts(self):
        refusals = [(503, {}), (429, {})]

        def answer(*_):
            return refusals.pop(0) if refusals else (200, {"rows": [ROW]})

        with serving(answer) as server:
            with pytest.raises(PlatformUnavailableError):
                TableClient(server.url).read([("plans", "a")])
            client = TableClient(server.url, pause=lambda _: None, read_attempts=2)
            assert len(client.read([("plans", "a")])) == 1


class TestScan:
    def test_reads_all_pages_and_backs_off_when_refused(self, monkeypatch):
        monkeypatch.setattr(table_module, "PAGE_ROWS", 2)
        keys = ["a", "b", "c", "d"]
        refusals = [(429, {}, ("Retry-After", "0.75")), (503, {})]
        pauses = []

        def answer(method, path, body):
            request = json.loads(body)
            if request["after"] == "b" and refusals:
                return refusals.pop(0)
            page = [key for key in keys if key > request["after"]][: request["limit"]]
            return 200, {"rows": [ROW | {"key": key} for key in page]}

        with serving(answer) as server:
            client = TableClient(server.url, pause=pauses.append)
            assert [row.key for row in client.scan("plans")] == keys
        assert len(pauses) == 2
        assert pauses[0] >= 0.75

    def test_refused_page_is_tried_up_to_page_attempts(self):
        with (
            serving(lambda *_: (503, {})) as server,
            pytest.raises(PlatformUnavailableError),
        ):
            list(TableClient(server.url, pause=lambda _: None).scan("plans"))
        assert len(server.requests) == table_module.PAGE_ATTEMPTS


class TestOtherServices:
    def test_read_hosts(self):
        host = {
            "name": "e1",
            "kind": "entry",
            "data_centre": "north",
            "address": "127.0.0.1:1",
            "incarnation": "1",
            "state": "live",
            "peer_address": "127.0.0.1:2",
            "added_later": True,
        }
        with serving(lambda *_: (200, {"hosts": [host]})) as server:
            (entry,) = read_hosts(server.url)
        assert (entry.name, entry.peer_address) == ("e1", "127.0.0.1:2")

    def test_object_client(self):
        stored = {}

        def answer(method, path, body):
            if method == "PUT":
                stored[path] = body
                return 200, b""
            return (200, stored[path]) if path in stored else (404, b"")

        with serving(answer) as server:
            client = ObjectClient(server.url)
            assert client.get("a b") is None
            client.put("a b", b"\x00\xff")
            assert client.get("a b") == b"\x00\xff"

    def test_fetch_weights(self):
        answers = [(200, {}), (429, {}, ("Retry-After", "2"))]
        with serving(lambda *_: answers.pop(0)) as server:
            assert fetch_weights(server.url, "draft", "1", 10).allowed
            refused = fetch_weights(server.url, "draft", "1", 10)
        assert (refused.allowed, refused.retry_after_s) == (False, 2.0)
