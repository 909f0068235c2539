"""The head of a request as a server gets it."""

import pytest

from ochrespan.data_plane.request_head import parse_head
from ochrespan.data_plane.server_request import ServerRequest


@pytest.mark.parametrize("tenant", ["acme", "Cēsis", "é", "Старый город"])
def test_a_tenant_with_letters_of_any_script_is_named_to_the_server_in_utf_8(tenant):
    head = parse_head(b"GET /r1/x HTTP/1.1\r\nHost: h")
    encoded = ServerRequest(head, "q-1", b"", tenant).encode("i-1", 1.0, 5, None)
    assert f"\r\nX-Tenant: {tenant}\r\n".encode() in encoded


def test_bytes_of_the_client_s_head_are_passed_on_unchanged():
    head = parse_head(b"GET /r1/x HTTP/1.1\r\nHost: h\r\nX-Note: \xe9\xc4\x93")
    assert b"\r\nX-Note: \xe9\xc4\x93\r\n" in ServerRequest(head, "q-1", b"", "Cēsis").encode("i-1", 1.0, 5, None)
