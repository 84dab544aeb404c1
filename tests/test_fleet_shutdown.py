"""A graceful shutdown of a real daemon under load cuts no request."""

import concurrent.futures
import threading
import time

import pytest

from standins import tokens
from tests.fleet import LAYERS
from tests.fleet import Fleet
from tests.fleet import long_prompt
from tests.fleet import wait_until


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path, data_centres=("a",), daemons_each=2) as made:
        yield made


def outcome_of(call):
    """Return what one caller saw; a refused connection took no request."""
    try:
        return call()
    except ConnectionRefusedError:
        return None


class TestUnderLoad:
    LENGTH = 120

    def test_streams_and_calls_end_whole(self, fleet):
        daemon = fleet["a0"]
        stopped = threading.Event()
        prompts = [long_prompt(self.LENGTH, f"drain{n}") for n in range(12)]

        def keep_asking(number):
            answers = []
            while not stopped.is_set():
                prompt = f"load {number} {len(answers)}"
                answer = outcome_of(lambda asked=prompt: daemon.complete(asked, 10))
                if answer is None:
                    break
                answers.append((prompt, 10, answer))
            return answers

        def stream(prompt):
            return [(prompt, self.LENGTH, daemon.complete(prompt, self.LENGTH))]

        with concurrent.futures.ThreadPoolExecutor(40) as pool:
            try:
                calls = [pool.submit(keep_asking, number) for number in range(10)]
                calls += [pool.submit(stream, prompt) for prompt in prompts]
                booked = [pool.submit(daemon.call, f"drain{n}") for n in range(5)]
                wait_until(lambda: self.open_streams(fleet) >= len(prompts))
                daemon.terminate()
                assert daemon.wait(30) == 0
            finally:
                stopped.set()
        for call in calls:
            for prompt, length, answer in call.result():
                assert answer.text() == tokens.expected_text(prompt, length, LAYERS)
        for call in booked:
            assert call.result().status == 200
        assert fleet["a1"].complete("after").text()

    def open_streams(self, fleet):
        return sum(
            attempt["end"] is None and attempt["made"] > 0
            for attempt in fleet.attempts()
        )

    def test_readiness_goes_before_the_listener(self, fleet):
        daemon = fleet["a0"]
        daemon.terminate()
        wait_until(lambda: not daemon.is_ready(), "readiness gone")
        # The balancer has not seen it yet and goes on sending.
        assert daemon.complete("late").text()
        assert daemon.wait(30) == 0


class TestBacklog:
    @pytest.fixture
    def fleet(self, tmp_path):
        # Without the balancer's lag, only the end of the accept loop takes them.
        with Fleet(
            tmp_path,
            data_centres=("a",),
            settings={"shutdown": {"balancer_lag_s": 0.0}},
        ) as made:
            yield made

    def test_requests_in_the_listen_backlog_are_served(self, fleet):
        daemon = fleet["a0"]
        prompts = [f"backlog {number}" for number in range(30)]
        with concurrent.futures.ThreadPoolExecutor(len(prompts)) as pool:
            daemon.freeze()
            try:
                calls = [pool.submit(daemon.complete, one, 10) for one in prompts]
                # Connected and sent, with nobody there to accept.
                time.sleep(1.0)
                daemon.terminate()
            finally:
                daemon.thaw()
            answers = [call.result() for call in calls]
        for prompt, answer in zip(prompts, answers, strict=True):
            assert answer.text() == tokens.expected_text(prompt, 10, LAYERS)
        assert daemon.wait(30) == 0
