"""Sends the readings: lines over TCP to Graphite, parts over UDP to collectd.

Each exporter is a task of its own that keeps nothing when its sink is dead: the readings are sums, so the next
round that gets through tells the same.
"""

from __future__ import annotations

import asyncio
import logging
import struct
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta

from ..metric_samples import MetricSample, metric_safe_name
from .section import Sink

log = logging.getLogger(__name__)

ROUND_TIMEOUT = timedelta(seconds=2)  # for one round with a sink
READINGS_A_TURN = 200  # readings collected in one turn of the loop
MOST_PACKET = 1452  # collectd's own size of a packet
# collectd's kinds of parts, and of values
HOST, PLUGIN, INSTANCE, TYPE, TYPE_INSTANCE, VALUES, TIME_HR, INTERVAL_HR = 0, 2, 3, 4, 5, 6, 8, 9
GAUGE, DERIVE = 1, 2
HIGH_RESOLUTION = 1 << 30  # collectd's fractions of a second
MAX_TEXT = 63  # bytes of a text, before its end mark
NUMBER_PART, VALUE_PART = 12, 15  # bytes of such a part


class Exporter(ABC):
    """Sends all sources' readings to one sink, again and again."""

    def __init__(self, sink: Sink, host: str, sources: list[Callable[[], Iterator[MetricSample]]]) -> None:
        self.sink, self.host, self._sources = sink, metric_safe_name(host), sources

    async def run(self) -> None:
        """Sends until it is cancelled; a sink that fails is logged once and tried again."""
        failing = False
        while True:
            await asyncio.sleep(self.sink.every.total_seconds())
            try:
                async with asyncio.timeout(ROUND_TIMEOUT.total_seconds()):
                    await self.send(await self._collect(), datetime.now(UTC))
                if failing:
                    log.info("sink answers again", extra={"sink": type(self).__name__})
                failing = False
            except (OSError, TimeoutError) as why:
                if not failing:
                    log.warning("sink fails", extra={"sink": type(self).__name__, "why": repr(why)})
                failing = True
                self.close()

    async def _collect(self) -> list[MetricSample]:
        """All readings, in turns: an installation of many thousand contracts must not stop serving for them."""
        found: list[MetricSample] = []
        for source in self._sources:
            for reading in source():
                found.append(reading)
                if len(found) % READINGS_A_TURN == 0:
                    await asyncio.sleep(0)
        return found

    @abstractmethod
    async def send(self, found: list[MetricSample], at: datetime) -> None:
        """One round of readings."""

    @abstractmethod
    def close(self) -> None:
        """Lets go of the connection to the sink."""


class Graphite(Exporter):
    """Lines of text over TCP."""

    _writer: asyncio.StreamWriter | None = None

    def lines(self, found: list[MetricSample], at: datetime) -> bytes:
        """The readings in Graphite's plaintext protocol."""
        stamp = int(at.timestamp())
        return "".join(
            f"{self.sink.prefix}.{self.host}.{r.group}.{r.name} {r.value:.10g} {stamp}\n" for r in found
        ).encode()

    async def send(self, found: list[MetricSample], at: datetime) -> None:
        if self._writer is not None and self._writer.is_closing():
            self.close()
        if self._writer is None:
            _, self._writer = await asyncio.open_connection(*self.sink.address)
        self._writer.write(self.lines(found, at))
        await self._writer.drain()

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()  # what the dead sink did not take must not pile up
            self._writer = None


def text_part(kind: int, text: str) -> bytes:
    """A part with a text, which is cut where it is too long."""
    body = text.encode()[:MAX_TEXT] + b"\0"
    return struct.pack("!HH", kind, 4 + len(body)) + body


def number_part(kind: int, number: int) -> bytes:
    """A part with a whole number."""
    return struct.pack("!HHQ", kind, NUMBER_PART, number)


def values_part(reading: MetricSample) -> bytes:
    """One value: a derive is a signed whole number in network order, a gauge a double in x86 order."""
    head = struct.pack("!HHHB", VALUES, VALUE_PART, 1, DERIVE if reading.counter else GAUGE)
    body = struct.pack("!q", round(reading.value)) if reading.counter else struct.pack("<d", reading.value)
    return head + body


class Collectd(Exporter):
    """Packets of collectd's binary protocol over UDP."""

    _transport: asyncio.DatagramTransport | None = None

    def packets(self, found: list[MetricSample], at: datetime) -> Iterator[bytes]:
        """The readings in as few packets as they fit into."""
        head = text_part(HOST, self.host)
        head += number_part(TIME_HR, int(at.timestamp() * HIGH_RESOLUTION))
        head += number_part(INTERVAL_HR, int(self.sink.every.total_seconds() * HIGH_RESOLUTION))
        head += text_part(PLUGIN, self.sink.prefix)
        packet = head
        for reading in found:
            parts = text_part(INSTANCE, reading.group)
            parts += text_part(TYPE, "derive" if reading.counter else "gauge")
            parts += text_part(TYPE_INSTANCE, reading.name) + values_part(reading)
            if len(packet) + len(parts) > MOST_PACKET:
                yield packet
                packet = head
            packet += parts
        yield packet

    async def send(self, found: list[MetricSample], at: datetime) -> None:
        if self._transport is None or self._transport.is_closing():
            loop = asyncio.get_running_loop()
            self._transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=self.sink.address
            )
        for packet in self.packets(found, at):
            self._transport.sendto(packet)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
