"""The queue of member updates to disseminate, with the number of transmissions of each.

SWIM piggybacks updates on its probe messages and sends each of them a limited number of times, the least transmitted
first (Das, Gupta, Motivala, "SWIM", 2002, section 4.1).
"""

from __future__ import annotations

import math

from ochrespan.common.addresses import Address

TRANSMIT_FACTOR = 3  # an update is sent this many times the binary logarithm of the fleet's size


class GossipQueue:
    """Addresses of the members with an update to disseminate. The update itself is built when it is sent."""

    def __init__(self) -> None:
        self._transmissions: dict[Address, int] = {}

    def push(self, address: Address) -> None:
        """Queues the newest update about a member, with a transmission count of 0."""
        self._transmissions[address] = 0

    def discard(self, address: Address) -> None:
        """Stops disseminating updates about a member."""
        self._transmissions.pop(address, None)

    def take(self, count: int, known_members: int) -> list[Address]:
        """Takes the least transmitted updates and counts them as sent.

        Args:
            count: The number of updates that fit into the message.
            known_members: The number of the other members, which bounds the transmissions of an update.

        Returns:
            The members that the updates are about, at most `count`.
        """
        max_transmissions = TRANSMIT_FACTOR * math.ceil(math.log2(known_members + 2))
        taken = sorted(self._transmissions, key=self._transmissions.__getitem__)[:count]
        for address in taken:
            self._transmissions[address] += 1
            if self._transmissions[address] >= max_transmissions:
                del self._transmissions[address]
        return taken
