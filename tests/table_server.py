"""A `FakeTable` behind HTTP."""

import json

from tests.tiny_server import DROP_CONNECTION
from tests.tiny_server import serving
from wagtailstair.core.rows import Condition
from wagtailstair.core.rows import Write
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.stores.table import TransactionConflictError


def _row(row):
    return {
        "table": row.table,
        "key": row.key,
        "version": row.version,
        "value": row.value,
    }


def _transact(table, body):
    conditions = [Condition(**condition) for condition in body["conditions"]]
    writes = [Write(**write) for write in body["writes"]]
    return {"versions": table.transact(conditions, writes)}


def _read(table, body):
    return {"rows": [_row(row) for row in table.read(body["keys"])]}


def _scan(table, body):
    rows = table.scan(body["table"], body["after"])
    return {"rows": [_row(row) for row in rows][: body["limit"]]}


HANDLERS = {"/v1/transact": _transact, "/v1/read": _read, "/v1/scan": _scan}


def serving_table(table):
    """Serve a table."""

    def answer(method, path, body):
        try:
            return 200, HANDLERS[path](table, json.loads(body))
        except TransactionConflictError as error:
            conflicts = [
                {"table": item.table, "key": item.key, "version": item.version}
                for item in error.conflicts
            ]
            return 409, {"conflicts": conflicts}
        except PlatformUnavailableError:
            return 503, {}
        except PlatformUnknownError:
            return DROP_CONNECTION

    return serving(answer)
