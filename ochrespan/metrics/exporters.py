"""Metrics exporters: plaintext over TCP for Graphite, the binary protocol over UDP for collectd.

Each exporter is a separate task and buffers nothing while its sink is unavailable: counters are cumulative, so the
next successful round makes up for lost ones.
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

ROUND_TIMEOUT = timedelta(seconds=2)  # for collecting and sending one round
SAMPLES_PER_TURN = 200  # collected in one iteration of the event loop
MAX_PACKET = 1452  # bytes; collectd's own limit
# part types and value types of collectd's protocol
HOST, PLUGIN, INSTANCE, TYPE, TYPE_INSTANCE, VALUES, TIME_HR, INTERVAL_HR = 0, 2, 3, 4, 5, 6, 8, 9
GAUGE, DERIVE = 1, 2
TIME_SCALE = 1 << 30  # collectd's time units per second
MAX_TEXT = 63  # bytes of a string without its terminating NUL
NUMBER_PART_SIZE, VALUE_PART_SIZE = 12, 15  # bytes


class Exporter(ABC):
    """Sends the samples of all sources to one sink at regular intervals."""

    def __init__(self, sink: Sink, host: str, sources: list[Callable[[], Iterator[MetricSample]]]) -> None:
        self.sink, self.host, self._sources = sink, metric_safe_name(host), sources

    async def run(self) -> None:
        """Sends until cancelled. A failing sink is logged once and retried in the next round."""
        failing = False
        while True:
            await asyncio.sleep(self.sink.every.total_seconds())
            try:
                async with asyncio.timeout(ROUND_TIMEOUT.total_seconds()):
                    await self.send(await self._collect(), datetime.now(UTC))
                if failing:
                    log.info("metrics sink is reachable again", extra={"sink": type(self).__name__})
                failing = False
            except (OSError, TimeoutError) as error:
                if not failing:
                    log.warning("cannot send metrics to sink", extra={"sink": type(self).__name__, "why": repr(error)})
                failing = True
                self.close()

    async def _collect(self) -> list[MetricSample]:
        """Collects all samples, yielding to the event loop: with thousands of contracts, this takes long."""
        samples: list[MetricSample] = []
        for source in self._sources:
            for sample in source():
                samples.append(sample)
                if len(samples) % SAMPLES_PER_TURN == 0:
                    await asyncio.sleep(0)
        return samples

    @abstractmethod
    async def send(self, samples: list[MetricSample], at: datetime) -> None:
        """Sends one round of samples."""

    @abstractmethod
    def close(self) -> None:
        """Closes the connection to the sink."""


class Graphite(Exporter):
    """Graphite's plaintext protocol over TCP."""

    _writer: asyncio.StreamWriter | None = None

    def lines(self, samples: list[MetricSample], at: datetime) -> bytes:
        """Encodes the samples, one per line."""
        timestamp = int(at.timestamp())
        return "".join(
            f"{self.sink.prefix}.{self.host}.{sample.group}.{sample.name} {sample.value:.10g} {timestamp}\n"
            for sample in samples
        ).encode()

    async def send(self, samples: list[MetricSample], at: datetime) -> None:
        if self._writer is not None and self._writer.is_closing():
            self.close()
        if self._writer is None:
            _, self._writer = await asyncio.open_connection(*self.sink.address)
        self._writer.write(self.lines(samples, at))
        await self._writer.drain()

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()  # discard what the failed sink has not accepted
            self._writer = None


def text_part(kind: int, text: str) -> bytes:
    """Encodes a string part; long strings are truncated."""
    body = text.encode()[:MAX_TEXT] + b"\0"
    return struct.pack("!HH", kind, 4 + len(body)) + body


def number_part(kind: int, number: int) -> bytes:
    """Encodes an integer part."""
    return struct.pack("!HHQ", kind, NUMBER_PART_SIZE, number)


def values_part(sample: MetricSample) -> bytes:
    """Encodes one value: a derive is a signed integer in network order, a gauge a little-endian double."""
    header = struct.pack("!HHHB", VALUES, VALUE_PART_SIZE, 1, DERIVE if sample.counter else GAUGE)
    body = struct.pack("!q", round(sample.value)) if sample.counter else struct.pack("<d", sample.value)
    return header + body


class Collectd(Exporter):
    """collectd's binary protocol over UDP."""

    _transport: asyncio.DatagramTransport | None = None

    def packets(self, samples: list[MetricSample], at: datetime) -> Iterator[bytes]:
        """Encodes the samples in as few packets as possible."""
        header = text_part(HOST, self.host)
        header += number_part(TIME_HR, int(at.timestamp() * TIME_SCALE))
        header += number_part(INTERVAL_HR, int(self.sink.every.total_seconds() * TIME_SCALE))
        header += text_part(PLUGIN, self.sink.prefix)
        packet = header
        for sample in samples:
            parts = text_part(INSTANCE, sample.group)
            parts += text_part(TYPE, "derive" if sample.counter else "gauge")
            parts += text_part(TYPE_INSTANCE, sample.name) + values_part(sample)
            if len(packet) + len(parts) > MAX_PACKET:
                yield packet
                packet = header
            packet += parts
        yield packet

    async def send(self, samples: list[MetricSample], at: datetime) -> None:
        if self._transport is None or self._transport.is_closing():
            loop = asyncio.get_running_loop()
            self._transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=self.sink.address
            )
        for packet in self.packets(samples, at):
            self._transport.sendto(packet)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
