"""The interface of subsystems. The `start` module of each has `start(section, components) -> Subsystem`."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .broker import Broker
from .config import Config
from .exchange import Handler
from .lifecycle import Lifecycle
from .metric_samples import MetricSample
from .net.chunk_client import ChunkClient
from .net.listener import Server

if TYPE_CHECKING:
    from .contracts.gate import ContractGate

Address = tuple[str, int]


@dataclass(slots=True)
class CoreComponents:
    """Components of the front that all subsystems use."""

    config: Config
    broker: Broker
    client: ChunkClient
    lifecycle: Lifecycle
    gate: ContractGate | None = None  # set by the contracts subsystem, where it is enabled
    govern_platform: bool = False  # whether requests over the platform's protocol need a contract
    handlers: dict[str, Handler] = field(default_factory=dict)  # request handlers by the name of their front
    metric_sources: list[Callable[[], Iterator[MetricSample]]] = field(default_factory=list)


@dataclass(slots=True)
class Subsystem:
    """A started subsystem: its listeners with their addresses, its background jobs, and its handler for a reload."""

    fronts: list[tuple[Server, Address]] = field(default_factory=list)
    jobs: list[Coroutine[Any, Any, None]] = field(default_factory=list)
    reload: Callable[[Any], None] | None = None
