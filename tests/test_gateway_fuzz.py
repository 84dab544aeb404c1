"""Fuzz tests of the request parser: bytes mutated and split at random, by seed."""

import contextlib
import os
import random

import pytest

from tests.test_gateway_requests import AMBIGUOUS
from tests.test_gateway_requests import HEAD
from wagtailstair.core.directory import CallerLimits
from wagtailstair.exceptions import RequestError
from wagtailstair.gateway.requests import RequestReader

SEEDS = range(int(os.environ.get("FUZZ_SEED", "1")), 9)
ROUNDS = int(os.environ.get("FUZZ_LENGTH", "400"))
CORPUS = [
    *(HEAD + tail for tail in AMBIGUOUS.values()),
    HEAD + b"Content-Length: 3\r\n\r\nabc",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n",
]
FRAGMENTS = [b"\r\n", b"\n", b"\r", b"\0", b" ", b"\t", b":", b"0", b"Host: y\r\n"]
LIMITS = CallerLimits(header_bytes=2000, body_bytes=500)


def mutate(rng, data):
    data = bytearray(data)
    for _ in range(rng.randint(0, 4)):
        position = rng.randrange(len(data) + 1)
        action = rng.randrange(3)
        if action == 0:
            data[position:position] = rng.choice(FRAGMENTS)
        elif action == 1:
            del data[position : position + rng.randint(1, 4)]
        elif position < len(data):
            data[position] = rng.randrange(256)
    return bytes(data)


def outcome(parts):
    reader = RequestReader(LIMITS, lambda: None)
    failed = False
    try:
        for part in parts:
            reader.feed(part, 0.0)
    except RequestError:
        failed = True
    read = []
    for request in reader.complete_requests:
        read.append((request.method, request.target, bytes(request.body)))
    return read, failed


class TestRequestReader:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_split_position_does_not_change_the_result(self, seed):
        rng = random.Random(seed)
        for _ in range(ROUNDS):
            data = mutate(rng, rng.choice(CORPUS))
            split = rng.randrange(len(data) + 1)
            unsplit = outcome([data])
            assert outcome([data[:split], data[split:]]) == unsplit, (seed, data, split)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_requests_have_one_host_and_at_most_one_framing(self, seed):
        rng = random.Random(seed)
        for _ in range(ROUNDS):
            data = mutate(rng, rng.choice(CORPUS))
            reader = RequestReader(LIMITS, lambda: None)
            with contextlib.suppress(RequestError):
                reader.feed(data, 0.0)
            for request in reader.complete_requests:
                names = [name.lower() for name, _ in request.headers]
                framings = names.count(b"content-length")
                framings += names.count(b"transfer-encoding")
                assert names.count(b"host") == 1, (seed, data)
                assert framings <= 1, (seed, data)
                assert request.target.startswith(b"/"), (seed, data)
