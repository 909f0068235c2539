"""The fields of a decision record: names, order and JSON types, and the lines of known records."""

from ochrespan.control_plane.quota.client import UNLIMITED, TokenReservation
from ochrespan.data_plane.decision_record import ANY, HOME, MOVED, AttemptRecord, DecisionLog
from tests.fleet_standins import StandInServer, configuration, respond, route, router, stream
from tests.test_decision_record import LIMITED, PROMPT, USAGE, CapturedRecords, real_scheduler, send_request
from tests.test_router_quotas import ScriptedQuotas

ARRIVED_S = 100.0
NOW_S = 100.75
TIME_OF_DAY_S = 1_770_000_000.5
RETRY_AFTER_S = 0.25


def shape_of(value):
    """Replaces the scalars of a JSON value by the names of their types; the order of fields stays."""
    if isinstance(value, dict):
        return [[name, shape_of(each)] for name, each in value.items()]
    if isinstance(value, list):
        return [shape_of(each) for each in value]
    return {bool: "boolean", int: "integer", float: "number", str: "string", type(None): "null"}[type(value)]


def fixed_log(lines):
    return DecisionLog(1.0, lines.append, clock=lambda: NOW_S, wall_clock=lambda: TIME_OF_DAY_S)


def test_a_fresh_record_is_one_line_of_json_with_its_defaults(snapshot):
    lines = []
    log = fixed_log(lines)
    log.finish(log.begin("q1", ARRIVED_S), ARRIVED_S, 503, RETRY_AFTER_S)
    assert lines == snapshot


def test_a_record_with_attempts_is_one_line_of_json(snapshot):
    lines = []
    log = fixed_log(lines)
    record = log.begin("q\N{LATIN SMALL LETTER E WITH ACUTE}", ARRIVED_S)
    # positional arguments, so that the order of the fields is checked too
    record.attempts.append(AttemptRecord("i-0", MOVED, True, False, 1.5, 2.5, 30.125, 4.0))
    record.attempts.append(AttemptRecord("i-1", HOME, False, True, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0, "done"))
    record.record_forwarded(0.25)
    record.record_forwarded(0.5)
    log.finish(record, ARRIVED_S, 200)
    assert lines == snapshot


def test_the_choices_of_a_server_have_their_words(snapshot):
    labels = [HOME, MOVED, ANY]
    assert labels == snapshot


def test_the_record_of_a_served_stream_has_its_fields_in_order(snapshot):
    captured = CapturedRecords()
    with router(real_scheduler(), decision_log=captured.log, quotas=ScriptedQuotas([UNLIMITED])) as made:
        view = configuration(route(kind="streaming"), tenants=(LIMITED,))
        assert send_request(made, view, StandInServer(stream(1, 2, 3))).read_response().complete
    assert shape_of(captured.only_record()) == snapshot


def test_the_record_of_a_refused_request_has_its_fields_in_order(snapshot):
    captured = CapturedRecords()
    quotas = ScriptedQuotas([TokenReservation(False, 0.01), TokenReservation(False, 0.75)])
    with router(decision_log=captured.log, quotas=quotas) as made:
        client = send_request(
            made, configuration(route(), tenants=(LIMITED,)), StandInServer(respond()), headers=USAGE + PROMPT
        )
        assert client.read_response().status == 429
    assert shape_of(captured.only_record()) == snapshot
