import http.server
import threading
import urllib.parse

import pytest

from wagtailstair.clock import ManualClock
from wagtailstair.core.lists import ACCOUNTS
from wagtailstair.core.lists import PLANS
from wagtailstair.core.lists import Lists
from wagtailstair.core.rows import Row
from wagtailstair.exceptions import PeerError
from wagtailstair.peers.bulk import BODY_BYTES_MAX
from wagtailstair.peers.bulk import SIGNATURE_HEADER
from wagtailstair.peers.bulk import RecentChanges
from wagtailstair.peers.bulk import apply_lists
from wagtailstair.peers.bulk import check_request
from wagtailstair.peers.bulk import encode_lists
from wagtailstair.peers.bulk import fetch_lists
from wagtailstair.peers.bulk import serve_lists
from wagtailstair.peers.bulk import sign_request
from wagtailstair.peers.codec import remove_frame

KEY = b"k" * 32
PLAN = {
    "priorities": ["standard"],
    "weight": 1.0,
    "work_per_s": 100.0,
    "burst_s": 10.0,
    "max_concurrent": 4,
    "models": ["draft"],
    "services": {},
}
ACCOUNT = {"plan": "maker", "keys": []}


def make_lists(version=3):
    rows = [
        Row(PLANS, "maker", 1, PLAN),
        Row(ACCOUNTS, "one", 2, ACCOUNT),
        Row(ACCOUNTS, "two", 3, ACCOUNT),
    ]
    return Lists().with_rows(version, rows)


def change_lists(lists, recent, *rows):
    changed = lists.with_rows(lists.version + 1, rows)
    recent.record_changes(lists, changed)
    return changed


def content(lists):
    return (
        lists.version,
        dict(lists.plan_by_name),
        dict(lists.account_by_name),
        dict(lists.row_versions),
    )


def body_of(data):
    return remove_frame(data, b"", BODY_BYTES_MAX)


class TestServe:
    def test_host_without_lists_gets_all_rows(self):
        lists = make_lists()
        body = body_of(serve_lists(lists, RecentChanges(), 0))
        assert content(apply_lists(body, Lists())) == content(lists)

    def test_only_changed_rows_are_sent(self):
        old = make_lists()
        recent = RecentChanges()
        middle = change_lists(old, recent, Row(ACCOUNTS, "three", 4, ACCOUNT))
        new = change_lists(middle, recent, Row(ACCOUNTS, "one", 0, None))
        for base in (old, middle):
            body = body_of(serve_lists(new, recent, base.version))
            assert len(body) < len(body_of(serve_lists(new, recent, 0)))
            assert content(apply_lists(body, base)) == content(new)

    def test_host_behind_the_recorded_changes_gets_all_rows(self):
        lists = make_lists(8)
        recent = RecentChanges()
        new = change_lists(lists, recent, Row(ACCOUNTS, "one", 0, None))
        body = body_of(serve_lists(new, recent, 3))
        assert content(apply_lists(body, make_lists(3))) == content(new)

    def test_step_over_several_versions_is_not_split(self):
        recent = RecentChanges()
        old = make_lists()
        new = old.with_rows(9, [Row(ACCOUNTS, "one", 0, None)])
        recent.record_changes(old, new)
        assert recent.changed_since(5, 9) == {(ACCOUNTS, "one")}
        assert recent.changed_since(2, 9) is None


class TestApply:
    def test_older_lists_are_ignored(self):
        lists = make_lists(5)
        assert apply_lists(encode_lists(make_lists(4), 0, []), lists) is lists

    def test_refuses_changes_with_a_gap(self):
        with pytest.raises(PeerError):
            apply_lists(encode_lists(make_lists(9), 7, []), make_lists(5))

    def test_refuses_lists_that_are_not_valid(self):
        body = encode_lists(make_lists(9), 0, [(ACCOUNTS, "one")])
        with pytest.raises(PeerError):
            apply_lists(body, Lists())

    @pytest.mark.parametrize("key", [b"", KEY])
    def test_corrupted_data_is_refused_before_decoding(self, key):
        answer = serve_lists(make_lists(), RecentChanges(), 0, key)
        corrupted = (b"noise" * 9, answer[:-1], answer[:40] + b"!" + answer[41:])
        for data in corrupted:
            with pytest.raises(PeerError):
                remove_frame(data, key, BODY_BYTES_MAX)


class TestSignature:
    def test_accepts_a_valid_signature(self):
        clock = ManualClock()
        check_request(KEY, 4, sign_request(KEY, 4, clock), clock)

    @pytest.mark.parametrize(
        ("key", "after", "age_s"),
        [(b"x" * 32, 4, 0), (KEY, 5, 0), (KEY, 4, 400), (b"", 4, 0)],
    )
    def test_refuses_other_keys_other_versions_and_old_signatures(
        self, key, after, age_s
    ):
        clock = ManualClock()
        header = sign_request(key, after, clock)
        clock.advance(age_s)
        with pytest.raises(PeerError):
            check_request(KEY, 4, header, clock)

    @pytest.mark.parametrize("header", ["", "x", "12 \xff", "9" * 99 + " 00"])
    def test_refuses_malformed_headers(self, header):
        with pytest.raises(PeerError):
            check_request(KEY, 4, header, ManualClock())


@pytest.fixture
def peer():
    clock = ManualClock()
    lists = make_lists()

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            query = urllib.parse.urlsplit(self.path).query
            after = int(urllib.parse.parse_qs(query)["after"][0])
            try:
                check_request(KEY, after, self.headers.get(SIGNATURE_HEADER, ""), clock)
            except PeerError:
                self.send_error(403)
                return
            body = serve_lists(lists, RecentChanges(), after, KEY)
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server.server_port}", lists, clock
    server.shutdown()
    server.server_close()
    thread.join()


class TestFetch:
    def test_returns_the_lists_of_a_peer(self, peer):
        address, lists, clock = peer
        assert content(fetch_lists(address, Lists(), clock, KEY)) == content(lists)

    def test_request_with_another_key_is_refused(self, peer):
        address, _, clock = peer
        with pytest.raises(PeerError, match="403"):
            fetch_lists(address, Lists(), clock, b"x" * 32)

    def test_unreachable_peer_raises_an_error(self, peer):
        with pytest.raises(PeerError):
            fetch_lists("127.0.0.1:1", Lists(), ManualClock(), KEY)
