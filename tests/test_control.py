"""The control address: calls, metrics and misbehaving callers, on a real front."""

import asyncio
import time

import pytest

from ochrespan.control.commands import (
    ActivateFront,
    DrainFront,
    ReadMetrics,
    ReadReadiness,
    ResumeServer,
    SuspendServer,
    UnknownPath,
    WrongMethod,
    read_command,
)
from ochrespan.control.statsd import statsd_text
from ochrespan.metric_samples import MetricSample

from .controlled_front import ControlledFront
from .front_harness import FrontHarness, run_scenario, wait_until


@pytest.mark.parametrize(
    ("method", "target", "command"),
    [
        ("GET", "/v1/readyz", ReadReadiness()),
        ("GET", "/v1/metrics?format=statsd", ReadMetrics()),
        ("POST", "/v1/chunk-servers/s-1/suspend", SuspendServer("s-1")),
        ("POST", "/v1/chunk-servers/a%2Fb/resume", ResumeServer("a/b")),
        ("POST", "/v1/front/drain", DrainFront()),
        ("POST", "/v1/front/activate", ActivateFront()),
    ],
)
def test_calls_are_parsed_into_commands(method, target, command):
    assert read_command(method, target) == command


@pytest.mark.parametrize(
    "target",
    [
        "/",
        "/v1",
        "/v1/readyz/",
        "/v1/chunk-servers/s-1",
        "/v1/chunk-servers//suspend",
        "/v1/chunk-servers/a/b/suspend",
        "/v1/chunk-servers/s-1/stop",
        "/v1/front",
        "/v2/readyz",
        "/up",
    ],
)
def test_unknown_paths_are_rejected(target):
    with pytest.raises(UnknownPath):
        read_command("GET", target)


@pytest.mark.parametrize(
    ("method", "target", "allowed"),
    [("POST", "/v1/readyz", "GET"), ("GET", "/v1/front/drain", "POST"), ("GET", "/v1/chunk-servers/x/suspend", "POST")],
)
def test_wrong_method_is_rejected_with_the_allowed_one(method, target, allowed):
    with pytest.raises(WrongMethod) as why:
        read_command(method, target)
    assert why.value.allowed == allowed


def test_samples_become_statsd_lines_with_delimiters_replaced():
    samples = [
        MetricSample("success", "photo-read", 812, True),
        MetricSample("front", "concurrent", 14, False),
        MetricSample("error", "a:b|c d", 1, True),
        MetricSample("front", "dispatches", 12345678, True),
    ]
    assert statsd_text(samples) == (
        "balancer.success.photo-read:812|c\nbalancer.concurrent:14|g\nbalancer.error.a_b_c_d:1|c\n"
        "balancer.dispatches:12345678|c\n"
    )


def test_each_call_gets_one_response_and_its_connection_is_closed():
    async def scenario():
        async with ControlledFront(1) as harness:
            for method, path, status in (
                ("GET", "/v1/readyz", 200),
                ("GET", "/v1/metrics", 200),
                ("GET", "/v1/other", 404),
                ("DELETE", "/v1/metrics", 405),
                ("POST", "/v1/chunk-servers/nobody/suspend", 404),
                ("POST", "/v1/chunk-servers/nobody/resume", 404),
                ("GET", "/up", 404),
            ):
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.control)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                got = await asyncio.wait_for(reader.read(), 1)  # until closed
                assert got.startswith(f"HTTP/1.1 {status} ".encode()), (path, got)
                writer.close()

    run_scenario(scenario())


def test_without_the_setting_there_is_no_control_address():
    async def scenario():
        async with FrontHarness(1) as harness:
            assert (await harness.call("GET", "/v1/readyz"))[0] == 400
            assert "control" not in harness.log

    run_scenario(scenario())


def test_callers_with_incomplete_requests_do_not_block_others():
    async def scenario():
        async with ControlledFront(1) as harness:
            writers = []
            for i in range(40):
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.control)
                if i % 2:
                    writer.write(b"POST /v1/front/drain HTTP/1.1\r\nContent-Le")
                writers.append(writer)
            for _ in range(5):
                began = time.monotonic()
                assert (await asyncio.wait_for(harness.command("/v1/readyz", "GET"), 1))[0] == 200
                assert time.monotonic() - began < 1
                await asyncio.sleep(0.1)
            for writer in writers:
                writer.close()

    run_scenario(scenario())


def test_metrics_count_results_by_class_attempts_and_servers():
    async def scenario():
        async with ControlledFront(2) as harness:
            initial = await harness.metrics()
            assert (
                initial["success.read"]
                == initial["overload.brief"]
                == initial["dispatches"]
                == initial["concurrent"]
                == 0
            )
            assert (initial["targets"], initial["targets_disabled"]) == (2, 0)
            harness.nodes[0].scripted_responses.extend(["any", "full", "any", "error", "error", "error"])
            for name in ("t1", "t2", "t3"):
                await harness.send_request(name)
            await harness.send_request("t4", "PUT", b"x" * 70, 1, cls="write")
            metrics = await harness.metrics()
            assert (metrics["success.read"], metrics["overload.read"] + metrics["error.read"]) == (2, 1)
            assert metrics["success.write"] == 1
            assert metrics["dispatches"] == 7 == sum(len(node.received) for node in harness.nodes)
            harness.nodes[0].default_response = "stall"
            hanging = asyncio.create_task(harness.send_request("t5"))
            await wait_until(lambda: len(harness.nodes[0].received) == 7)
            metrics = await harness.metrics()
            assert (metrics["concurrent"], metrics["dispatches"]) == (1, 8)  # in flight
            hanging.cancel()

    run_scenario(scenario())
