"""A graceful shutdown of a daemon under load completes all accepted requests."""

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
    with Fleet(tmp_path, data_centres=("a",), daemons_each=2) as new_fleet:
        yield new_fleet


def response_of(call):
    """Return the response to a call, ``None`` if the connection was refused."""
    try:
        return call()
    except ConnectionRefusedError:
        return None


class TestUnderLoad:
    LENGTH = 120

    def test_streams_and_calls_are_completed(self, fleet):
        daemon = fleet["a0"]
        stopped = threading.Event()
        prompts = [long_prompt(self.LENGTH, f"drain{n}") for n in range(12)]

        def send_until_stopped(number):
            answers = []
            while not stopped.is_set():
                prompt = f"load {number} {len(answers)}"
                answer = response_of(lambda asked=prompt: daemon.complete(asked, 10))
                if answer is None:
                    break
                answers.append((prompt, 10, answer))
            return answers

        def stream(prompt):
            return [(prompt, self.LENGTH, daemon.complete(prompt, self.LENGTH))]

        with concurrent.futures.ThreadPoolExecutor(40) as pool:
            try:
                calls = [
                    pool.submit(send_until_stopped, number) for number in range(10)
                ]
                calls += [pool.submit(stream, prompt) for prompt in prompts]
                service_calls = [
                    pool.submit(daemon.call, f"drain{n}") for n in range(5)
                ]
                wait_until(lambda: self.open_streams(fleet) >= len(prompts))
                daemon.terminate()
                assert daemon.wait(30) == 0
            finally:
                stopped.set()
        for call in calls:
            for prompt, length, answer in call.result():
                assert answer.text() == tokens.expected_text(prompt, length, LAYERS)
        for call in service_calls:
            assert call.result().status == 200
        assert fleet["a1"].complete("after").text()

    def open_streams(self, fleet):
        return sum(
            attempt["end"] is None and attempt["made"] > 0
            for attempt in fleet.attempts()
        )

    def test_requests_are_served_after_readiness_ended(self, fleet):
        daemon = fleet["a0"]
        daemon.terminate()
        wait_until(lambda: not daemon.is_ready(), "readiness gone")
        # The load balancer has not seen it yet and still sends requests.
        assert daemon.complete("late").text()
        assert daemon.wait(30) == 0


class TestBacklog:
    @pytest.fixture
    def fleet(self, tmp_path):
        # Without the balancer's lag, only the last pass of the accept loop accepts
        # the connections of the backlog.
        with Fleet(
            tmp_path,
            data_centres=("a",),
            settings={"shutdown": {"balancer_lag_s": 0.0}},
        ) as new_fleet:
            yield new_fleet

    def test_requests_in_the_listen_backlog_are_served(self, fleet):
        daemon = fleet["a0"]
        prompts = [f"backlog {number}" for number in range(30)]
        with concurrent.futures.ThreadPoolExecutor(len(prompts)) as pool:
            daemon.freeze()
            try:
                calls = [pool.submit(daemon.complete, one, 10) for one in prompts]
                # The connections are made and the requests sent, but not accepted.
                time.sleep(1.0)
                daemon.terminate()
            finally:
                daemon.thaw()
            answers = [call.result() for call in calls]
        for prompt, answer in zip(prompts, answers, strict=True):
            assert answer.text() == tokens.expected_text(prompt, 10, LAYERS)
        assert daemon.wait(30) == 0
