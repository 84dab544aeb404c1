"""Streams with comments between their events, whose first engine drains.

The successor begins after an event that the caller had got some time ago. Its comments
must not set back what the caller has got, or later events come twice.
"""

import re

import pytest

from tests.gateway_data import make_config_of_whole_engines
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_gateway import wait_for_placement

EVENTS = 60
COMMENT_EVERY = 4
COMMENT = b": keep-alive\n\n"


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_config_of_whole_engines())
    return deployment


@pytest.fixture
def engines(deployment):
    engines = [deployment.add_engine(f"i-e{n}") for n in range(4)]
    for engine in engines:
        engine.events, engine.pause_s, engine.first_event_s = EVENTS, 0.03, 0.2
        engine.write = add_comments(engine.write)
    return engines


def add_comments(write):
    """Return a function that writes events, and a comment after each fourth one."""

    def write_with_comment(pending, data):
        number = int(re.match(rb"id: (\d+)", data).group(1))
        write(pending, data + COMMENT if number % COMMENT_EVERY == 0 else data)

    return write_with_comment


def test_events_come_once_when_the_first_engine_drains(deployment, engines):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    wait_for_placement(deployment, engines)
    sent = [deployment.send(host, make_stream(f"a{n}")) for n in range(16)]
    deployment.run(lambda: all(b"id: 10\n" in caller.data for caller in sent))
    busiest = max(engines, key=lambda engine: len(engine.runs))
    before = sum(len(engine.runs) for engine in engines)
    busiest.write_row(state="draining")
    deployment.run(lambda: all(c.is_complete or c.is_closed for c in sent))
    assert sum(len(engine.runs) for engine in engines) > before
    expected = [str(number) for number in range(1, EVENTS + 1)]
    for caller in sent:
        assert re.findall(r"id: (\d+)", caller.body.decode()) == expected
