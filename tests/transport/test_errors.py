"""The exceptions of the transport: one base, and the built-in bases by which callers catch them."""

import pytest

from ochrespan.transport import codec, compact, rpc, tcp
from ochrespan.transport.errors import TransportError


@pytest.mark.parametrize(
    "error_type", [codec.MessageError, compact.PackingError, tcp.ConnectionClosedError, rpc.RpcError]
)
def test_every_exception_derives_from_the_base(error_type):
    assert issubclass(error_type, TransportError)


@pytest.mark.parametrize("error_type", [codec.MessageError, compact.PackingError])
def test_an_unusable_value_is_a_value_error(error_type):
    assert issubclass(error_type, ValueError)


def test_the_form_of_a_message_error_that_a_peer_may_send_back():
    error = codec.MessageError("call", "Echo", "a call that this process answers")
    assert repr(error) == "MessageError('call: found Echo, allowed a call that this process answers')"
