"""A router's subscription to the feed of one controller."""

from __future__ import annotations

from typing import Any

from ochrespan.common.addresses import Address
from ochrespan.transport.tcp import Connection, dial

from .messages import Subscribe

FEED_TIMEOUT_S = 1.2  # without a message; longer than two intervals of freshness messages


class Subscription:
    """An open connection on which a controller sends its feed.

    Attributes:
        address: The controller.
    """

    def __init__(self, address: Address, connection: Connection) -> None:
        self.address = address
        self._connection = connection
        self._first: Any = None  # a message that has been received and not returned yet

    @classmethod
    def open(cls, address: Address, timeout_s: float, request: Subscribe) -> Subscription:
        """Connects to a controller and subscribes.

        Raises:
            OSError: No connection could be opened within `timeout_s` seconds.
            ConnectionClosedError: The connection was lost.
        """
        connection = dial(address, timeout_s)
        connection.set_idle_timeout(FEED_TIMEOUT_S)
        try:
            connection.send(request)
        except BaseException:
            connection.close()
            raise
        return cls(address, connection)

    def wait_for_message(self) -> None:
        """Waits for the first message, which `receive` returns then; raises like `receive`."""
        self._first = self._connection.receive()

    def receive(self) -> Any:
        """Waits for the next message.

        Raises:
            ConnectionClosedError: The connection was lost, or nothing has arrived for FEED_TIMEOUT_S.
            MessageError: A message was malformed.
        """
        if self._first is None:
            return self._connection.receive()
        first, self._first = self._first, None
        return first

    @property
    def has_message(self) -> bool:
        """Whether `receive` returns without waiting."""
        return self._first is not None or self._connection.has_message

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()
