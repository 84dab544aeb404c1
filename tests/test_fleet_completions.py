"""Completions through daemon processes: correct and complete despite failures."""

import concurrent.futures
import time

import openai
import pytest

from standins import tokens
from tests.fleet import LAYERS
from tests.fleet import MODEL
from tests.fleet import Fleet
from tests.fleet import bearer
from tests.fleet import in_background
from tests.fleet import long_prompt
from tests.fleet import wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as new_fleet:
        yield new_fleet


@pytest.fixture
def client(fleet):
    base_url = f"http://{fleet['a0'].address}/v1"
    with openai.OpenAI(
        base_url=base_url, api_key=bearer("maker"), max_retries=0
    ) as new_client:
        yield new_client


class TestOpenAIClient:
    PROMPT = "describe a lantern of paper and wire"

    def test_streamed_completion(self, client):
        stream = client.completions.create(
            model=MODEL, prompt=self.PROMPT, max_tokens=15, stream=True
        )
        chunks = [choice for chunk in stream for choice in chunk.choices]
        text = "".join(choice.text or "" for choice in chunks)
        assert text == tokens.expected_text(self.PROMPT, 15, LAYERS)
        assert chunks[-1].finish_reason == "length"

    def test_unstreamed_completion(self, client):
        answer = client.completions.create(
            model=MODEL, prompt=self.PROMPT, max_tokens=15
        )
        assert answer.choices[0].text == tokens.expected_text(self.PROMPT, 15, LAYERS)
        assert answer.usage.completion_tokens == 15

    def test_chat(self, client):
        messages = [{"role": "user", "content": self.PROMPT}]
        prompt = f"user: {self.PROMPT}\nassistant:"
        completion = client.chat.completions.create(
            model=MODEL, messages=messages, max_tokens=15
        )
        expected = tokens.expected_text(prompt, 15, LAYERS)
        assert completion.choices[0].message.content == expected
        stream = client.chat.completions.create(
            model=MODEL, messages=messages, max_tokens=15, stream=True
        )
        deltas = [choice.delta for chunk in stream for choice in chunk.choices]
        assert "".join(delta.content or "" for delta in deltas) == expected

    def test_unknown_key_and_model(self, client, fleet):
        with pytest.raises(openai.PermissionDeniedError):
            client.completions.create(model="none", prompt="x")
        base_url = f"http://{fleet['a0'].address}/v1"
        unauthenticated = openai.OpenAI(
            base_url=base_url, api_key="maker.x", max_retries=0
        )
        with pytest.raises(openai.AuthenticationError):
            unauthenticated.models.list()
        assert [model.id for model in client.models.list()] == [MODEL]


def running_attempt(fleet, prompt, min_tokens=5):
    """Wait for an attempt in mid-stream, with some tokens generated, and return it."""

    def find_attempt():
        for attempt in fleet.attempts():
            if attempt["end"] is None and attempt["made"] >= min_tokens:
                return attempt
        return None

    return wait_until(find_attempt, f"a stream of {prompt} in its middle")


class TestStageFailure:
    LENGTH = 80

    @pytest.mark.parametrize("stage", [0, 1], ids=["first", "last"])
    @pytest.mark.parametrize("fault", ["dead", "stall"])
    def test_answer_is_complete_after_a_stage_failure(self, fleet, stage, fault):
        prompt = long_prompt(self.LENGTH, f"{fault}{stage}")
        with in_background(lambda: fleet["a0"].complete(prompt, self.LENGTH)) as call:
            attempt = running_attempt(fleet, prompt)
            failed_engine = attempt["route"][stage]
            fleet.standins.switch(failed_engine, **{fault: True})
            try:
                answer = call.result(30)
            finally:
                fleet.standins.switch(failed_engine, **{fault: False})
        assert answer.text() == tokens.expected_text(prompt, self.LENGTH, LAYERS)
        attempts = [a for a in fleet.attempts() if a["request"] == attempt["request"]]
        # The fault came in mid-stream, so no single attempt generated all tokens.
        assert max(a["made"] for a in attempts) < self.LENGTH
        fleet.assert_layers_ran_once()

    @pytest.mark.parametrize(
        "switches",
        [{"cut_after": 7}, {"duplicate_events": 30, "late_events": 3}],
        ids=["cut", "duplicate-and-late"],
    )
    def test_answer_is_complete_after_faulty_streams(self, fleet, switches):
        engines = [f"engine-a{n}" for n in range(4)]
        for name in engines:
            fleet.standins.switch(name, **switches)
        prompt = long_prompt(30, str(switches))
        try:
            answer = fleet["a0"].complete(prompt, 30)
        finally:
            for name in engines:
                fleet.standins.switch(
                    name, cut_after=0, duplicate_events=0, late_events=0
                )
        events = answer.events()
        if "error" in events[-1]:
            # All engines cut their streams, so the request may fail, but only with an
            # explicit error event.
            assert "cut_after" in switches
            text = "".join(c["text"] for e in events[:-1] for c in e["choices"])
            assert tokens.expected_text(prompt, 30, LAYERS).startswith(text)
            return
        assert answer.text() == tokens.expected_text(prompt, 30, LAYERS)

    def test_disconnect_stops_the_engines(self, fleet):
        prompt = long_prompt(600, "left")
        with pytest.raises(TimeoutError):
            self.read_then_disconnect(fleet, prompt, 0.5)
        wait_until(lambda: not self.running_attempts(fleet), "no stream runs")

    def read_then_disconnect(self, fleet, prompt, seconds):
        with openai.OpenAI(
            base_url=f"http://{fleet['a0'].address}/v1",
            api_key=bearer("maker"),
            max_retries=0,
        ) as client:
            stream = client.completions.create(
                model=MODEL, prompt=prompt, max_tokens=600, stream=True
            )
            ends_at = time.monotonic() + seconds
            for _ in stream:
                if time.monotonic() > ends_at:
                    assert self.running_attempts(fleet)
                    stream.close()
                    raise TimeoutError

    def running_attempts(self, fleet):
        return [a for a in fleet.attempts() if a["end"] is None]


class TestConcurrentRequests:
    def test_each_caller_gets_its_own_answer(self, fleet):
        prompts = [f"caller {number} asks" for number in range(60)]
        daemons = [fleet["a0"], fleet["b0"]]

        def run(number):
            return daemons[number % 2].complete(prompts[number], 25)

        with concurrent.futures.ThreadPoolExecutor(30) as pool:
            answers = list(pool.map(run, range(len(prompts))))
        for prompt, answer in zip(prompts, answers, strict=True):
            assert answer.text() == tokens.expected_text(prompt, 25, LAYERS)
        fleet.assert_layers_ran_once()


class TestLeaving:
    # Bound on the time until a leaving engine gets no new requests.
    LEAVING_BOUND_S = 3.0

    @pytest.mark.parametrize("way", ["list", "word"])
    def test_leaving_engine_gets_no_new_requests(self, fleet, way):
        """An engine is leaving by the host list or by its own report (``word``)."""
        leaving = ("engine-a0", "engine-a1")
        for name in leaving:
            if way == "list":
                fleet.standins.switch("hosts", leaving=name)
            else:
                fleet.standins.switch(name, leaving=True)
        leaving_at = time.monotonic()
        try:
            for number in range(40):
                answer = fleet["a0"].complete(f"leaving {way} {number}", 5)
                assert answer.status == 200
                time.sleep(0.1)
            late = [
                attempt
                for attempt in fleet.attempts()
                if attempt["at"] > leaving_at + self.LEAVING_BOUND_S
                and set(attempt["route"]) & set(leaving)
            ]
            assert time.monotonic() > leaving_at + self.LEAVING_BOUND_S
            assert late == []
        finally:
            for name in leaving:
                fleet.standins.switch(name, leaving=False)
                # A restart gives a new incarnation, which may be used again.
                fleet.standins.switch(name, dead=True)
                fleet.standins.switch(name, dead=False)
