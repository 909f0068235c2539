"""The shortest way through the data plane: a request and a stream by a fixed table."""

from ochrespan.data_plane.decisions import Outcome
from tests.fleet_standins import StandInServer, answer, configuration, event, route, router, stream


def test_a_request_and_a_stream_pass_through_one_connection_to_the_server():
    server = StandInServer(answer(b"hi"), stream(1, 2, 3))
    with router() as made:
        made.use(configuration(route(kind="streaming")), server)
        client = made.client()
        client.ask(body=b"abc")
        got = client.read_answer()
        assert (got.status, got.body, got.whole, got.value("X-Server-Stamp")) == (200, b"hi", True, "stamp")
        client.ask(id="q2")
        got = client.read_answer()
        assert (got.body, got.whole) == (event(1) + event(2) + event(3), True)
        assert server.connections == 1
        assert made.scheduler.outcomes == [Outcome.DONE] * 2
    server.stop()
