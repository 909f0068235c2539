"""Malformed responses of chunk servers, and valid ones with surplus bytes."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ochrespan.net.responses import MAX_RESPONSE_BODY_BYTES, MalformedResponse, ResponseReader

from .front_harness import KEY, VOLUME, FrontHarness, run_scenario

OK = b"HTTP/1.1 200 OK\r\n"
INVALID_EXTRAS = b"Endpoint-Load-Metrics: TEXT depth=?, load_share=\xff\r\nX-Served-Elsewhere: lots\r\n"
VALID_RESPONSE = OK + INVALID_EXTRAS + b"Content-Length: 4\r\n\r\ngood"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"

MALFORMED = [
    b"\x0b\xe73\x19\r\n\r\n",
    b"ICY 200 OK\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 2x0 OK\r\n\r\n",
    b"HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 101 Switching\r\n\r\n",
    OK + b"no colon here\r\nContent-Length: 2\r\n\r\nno",
    OK + b"A: b\r\n folded\r\nContent-Length: 2\r\n\r\nno",
    OK + b"Content-Length : 2\r\n\r\nno",
    OK + b"X-Pad: ppppppppppppppppp\r\n" * 4000,
    OK + b"Content-Length: -1\r\n\r\n",
    OK + b"Content-Length: 2\r\nContent-Length: 4\r\n\r\nno",
    OK + b"Content-Length: +2\r\n\r\nno",
    OK + b"\r\nno length",
    OK + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 500_000,
    OK + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    CHUNKED + b"5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
    CHUNKED + b"2\r\nno0\r\n\r\n",
    CHUNKED + b"0\r\nTrailer x\r\n\r\n",
    CHUNKED + b"fffffffff\r\n",
    CHUNKED + b"0\r\nX: y\n\r\n",
    CHUNKED + b"0\r\n" + b"X-Pad: ppppppppppppp\r\n" * 2000,
    CHUNKED + b"2 x\r\nno\r\n",
    CHUNKED + b"2;\x00\r\nno\r\n",
    CHUNKED + b"2;" + b"x" * 3000,
    CHUNKED + b"4000001\r\n",
    EARLY_HINTS * 3 + b"HTTP/1.1 2x0 OK\r\n\r\n",
]
VALID = [
    VALID_RESPONSE,
    VALID_RESPONSE + VALID_RESPONSE,
    VALID_RESPONSE + b"\x0b\xe73\x19\r\n\r\n",
    EARLY_HINTS * 500 + VALID_RESPONSE,
    CHUNKED + b"1\r\ng\r\n3\r\nood\r\n0\r\n\r\n" + VALID_RESPONSE,
    CHUNKED + b'1;a="b;c"\r\ng\r\n3 ; d\r\nood\r\n0;e=f\r\nTrailer: x\r\nOther:y\r\n\r\n' + VALID_RESPONSE,
]


@pytest.mark.parametrize("response_bytes", MALFORMED, ids=range(len(MALFORMED)))
def test_malformed_response_fails_the_attempt_and_closes_the_connection(response_bytes):
    """aiohttp accepted some of these, and read endless ones until the memory was exhausted."""

    async def scenario():
        async with FrontHarness(1) as harness:
            node = harness.nodes[0]
            node.stored[f"/api/{VOLUME}/{KEY}"] = b"the answer"
            node.scripted_responses.append(response_bytes)
            status, _, body = await harness.send_request("t1")
            assert (status, body) == (200, b"the answer")
            assert (len(node.received), node.connections, node.overlapping_attempts) == (2, 2, 0)
            node.scripted_responses.append(response_bytes)
            assert (await harness.send_request("t2", cls="once"))[0] == 502  # it may have been executed

    run_scenario(scenario())


@pytest.mark.parametrize("response_bytes", VALID, ids=range(len(VALID)))
def test_valid_response_is_served_and_surplus_bytes_are_dropped(response_bytes):
    async def scenario():
        async with FrontHarness(1) as harness:
            node = harness.nodes[0]
            node.stored[f"/api/{VOLUME}/{KEY}"] = b"the answer"
            for number in range(4):
                node.scripted_responses.append(response_bytes)
                status, _, body = await harness.send_request(f"a{number}")
                assert (status, body) == (200, b"good")
                status, _, body = await harness.send_request(f"b{number}")
                assert (status, body) == (200, b"the answer")
            assert len(node.received) == 8 and node.overlapping_attempts == 0

    run_scenario(scenario())


@seed(1)
@settings(max_examples=80, deadline=None)
@given(response_bytes=st.sampled_from(MALFORMED + VALID), cuts=st.lists(st.integers(1, 3000), max_size=12))
def test_response_is_parsed_the_same_in_any_segmentation(response_bytes, cuts):
    def parse(segments):
        reader, output = ResponseReader(), b""
        try:
            for segment in segments:
                output += reader.feed(segment)
                if reader.complete:
                    return output
        except MalformedResponse:
            return MalformedResponse
        return None

    segments, remaining = [], response_bytes
    for cut in cuts:
        segments.append(remaining[:cut])
        remaining = remaining[cut:]
    assert parse([*segments, remaining]) == parse([response_bytes]) != None  # noqa: E711


def test_largest_allowed_body_passes():
    body = bytes(MAX_RESPONSE_BODY_BYTES)
    response_bytes = OK + b"Content-Length: %d\r\n\r\n" % len(body) + body
    assert ResponseReader().feed(response_bytes) == response_bytes
