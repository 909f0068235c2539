"""What a subsystem is given when it starts, and what it gives back. Each offers `start(section, core)`."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .broker import Broker
from .config import Config
from .exchange import Handler
from .lifecycle import Lifecycle
from .metric_samples import MetricSample
from .net.chunks import ChunkClient
from .net.listener import Server

if TYPE_CHECKING:
    from .contracts.gate import ContractGate

Address = tuple[str, int]


@dataclass(slots=True)
class CoreComponents:
    """The parts that all subsystems stand on."""

    config: Config
    broker: Broker
    client: ChunkClient
    lifecycle: Lifecycle
    gate: ContractGate | None = None  # set by the contracts, where there are any
    govern_platform: bool = False  # whether requests in the platform's protocol need a contract too
    handlers: dict[str, Handler] = field(default_factory=dict)  # of the fronts that run, by name
    metric_sources: list[Callable[[], Iterator[MetricSample]]] = field(default_factory=list)


@dataclass(slots=True)
class Subsystem:
    """A subsystem's listeners (what makes their connections, and where), its jobs, and what takes a new section."""

    fronts: list[tuple[Server, Address]] = field(default_factory=list)
    jobs: list[Coroutine[Any, Any, None]] = field(default_factory=list)
    reload: Callable[[Any], None] | None = None
