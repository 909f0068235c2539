"""Spoilt answers of chunk servers, and good ones with more than belongs to them."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ochrespan.net.responses import MOST_BODY, AnswerReader, Spoilt

from .front_harness import KEY, VOLUME, FrontHarness, run_scenario

OK = b"HTTP/1.1 200 OK\r\n"
ODD = b"Endpoint-Load-Metrics: TEXT depth=?, load_share=\xff\r\nX-Served-Elsewhere: lots\r\n"
GOOD = OK + ODD + b"Content-Length: 4\r\n\r\ngood"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HINT = b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"

SPOILT = [
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
    HINT * 3 + b"HTTP/1.1 2x0 OK\r\n\r\n",
]
MORE = [
    GOOD,
    GOOD + GOOD,
    GOOD + b"\x0b\xe73\x19\r\n\r\n",
    HINT * 500 + GOOD,
    CHUNKED + b"1\r\ng\r\n3\r\nood\r\n0\r\n\r\n" + GOOD,
    CHUNKED + b'1;a="b;c"\r\ng\r\n3 ; d\r\nood\r\n0;e=f\r\nTrailer: x\r\nOther:y\r\n\r\n' + GOOD,
]


@pytest.mark.parametrize("raw", SPOILT, ids=range(len(SPOILT)))
def test_a_spoilt_answer_is_a_failed_attempt_and_its_connection_is_not_used_again(raw):
    """aiohttp forgave some of these, and read what never ended until the memory was gone."""

    async def story():
        async with FrontHarness(1) as world:
            node = world.nodes[0]
            node.stored[f"/api/{VOLUME}/{KEY}"] = b"the answer"
            node.scripted_responses.append(raw)
            status, _, body = await world.send_request("t1")
            assert (status, body) == (200, b"the answer")
            assert (len(node.received), node.connections, node.overlapping_attempts) == (2, 2, 0)
            node.scripted_responses.append(raw)
            assert (await world.send_request("t2", cls="once"))[0] == 502  # it may have run

    run_scenario(story())


@pytest.mark.parametrize("raw", MORE, ids=range(len(MORE)))
def test_a_good_answer_is_served_and_what_follows_it_is_nobodys_answer(raw):
    async def story():
        async with FrontHarness(1) as world:
            node = world.nodes[0]
            node.stored[f"/api/{VOLUME}/{KEY}"] = b"the answer"
            for number in range(4):
                node.scripted_responses.append(raw)
                status, _, body = await world.send_request(f"a{number}")
                assert (status, body) == (200, b"good")
                status, _, body = await world.send_request(f"b{number}")
                assert (status, body) == (200, b"the answer")
            assert len(node.received) == 8 and node.overlapping_attempts == 0

    run_scenario(story())


@seed(1)
@settings(max_examples=80, deadline=None)
@given(raw=st.sampled_from(SPOILT + MORE), cuts=st.lists(st.integers(1, 3000), max_size=12))
def test_an_answer_reads_the_same_however_it_is_cut(raw, cuts):
    def read(pieces):
        reader, answer = AnswerReader(), b""
        try:
            for piece in pieces:
                answer += reader.feed(piece)
                if reader.whole:
                    return answer
        except Spoilt:
            return Spoilt
        return None

    pieces, rest = [], raw
    for cut in cuts:
        pieces.append(rest[:cut])
        rest = rest[cut:]
    assert read([*pieces, rest]) == read([raw]) != None  # noqa: E711


def test_the_largest_body_passes():
    body = bytes(MOST_BODY)
    raw = OK + b"Content-Length: %d\r\n\r\n" % len(body) + body
    assert AnswerReader().feed(raw) == raw
