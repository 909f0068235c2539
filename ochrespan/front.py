"""One front: wiring, signals and its end."""

from __future__ import annotations

import asyncio
import importlib
import logging
import os
import signal
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from . import config, logs
from .broker import Broker
from .control.front import MAX_BODY_BYTES as CONTROL_MAX_BODY_BYTES
from .control.front import MAX_CONNECTIONS as CONTROL_MAX_CONNECTIONS
from .control.front import ControlFront
from .lifecycle import Lifecycle, Phase
from .metric_samples import front_samples
from .net import discovery
from .net.bodies import MOST_BODY
from .net.chunks import ChunkClient
from .net.client_session import open_session, resize
from .net.discovery import Directory, Watch
from .net.http1 import Http1Server
from .net.listener import Listener, Server
from .net.platform import MOST_WHOLE, PlatformFront
from .shutdown_schedule import CLIENTS_LEAVE_AFTER, SILENT_IDLE_AFTER, shutdown_schedule
from .sockets import SocketBudget, open_descriptor_count
from .subsystem import CoreComponents, Subsystem
from .suspension import SuspendedServers, SuspensionController, SuspensionFile
from .upgrade import ProcessRegistry, list_wait, process_age

if TYPE_CHECKING:  # the operator's file and all that it switches on is loaded only where there is one
    from .operator_config import OperatorConfig

log = logging.getLogger("ochrespan")

GRACE = timedelta(seconds=0.1)  # for what shuts down
LOOK = timedelta(seconds=0.02)
LAST = timedelta(seconds=0.1)  # for what arrived in the very last moment
FIRST_LIST = timedelta(seconds=1)  # to hear it before the front is put to use, where it counts as told by then
HELD_UP = timedelta(seconds=0.5)  # of the event loop, worth a line in the log
FOLLOW = timedelta(seconds=0.1)  # between looks at what operators and the other process of an upgrade want
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


class Reloads:
    """SIGHUP: each file goes on as it says now, or as before if it cannot be read or has a fault."""

    def __init__(self, told: config.Config, watch: Watch, path: Path | None, running: dict[str, Subsystem]) -> None:
        self._told, self._watch, self._path, self._running = told, watch, path, running
        self._wanted = False  # also while a file is being read: it may have changed since
        self._reading: asyncio.Task[None] | None = None

    def __call__(self) -> None:
        self._configuration()
        if self._path is not None:
            self._wanted = True
            if self._reading is None or self._reading.done():
                self._reading = asyncio.create_task(self._operator(self._path))

    def _configuration(self) -> None:
        try:
            new, fixed = config.reload(os.environ, self._told)
        except config.BadConfig as why:
            log.error("the old configuration stays", extra={"why": str(why)})
            return
        told_to = {"discovery": new.discovery, "only_by_restart": ",".join(fixed) or "-"}
        log.info("configuration read anew", extra=told_to)
        self._watch.move(new.discovery)

    async def _operator(self, path: Path) -> None:
        from . import operator_config

        while self._wanted:
            self._wanted = False
            try:  # thousands of contracts take a second to read: requests go on meanwhile
                new = await asyncio.to_thread(operator_config.load, path, self._told.settings)
            except config.BadConfig as why:
                for fault in why.args:
                    log.error("the old operator's file stays", extra={"why": fault})
                continue
            except Exception:
                log.exception("the old operator's file stays")
                continue
            for name, section in new.sections.items():
                if name in self._running and (take := self._running[name].reload) is not None:
                    take(section)
            fixed = [
                name
                for name in new.sections.keys() | self._running.keys()
                if name not in self._running or name not in new.sections or self._running[name].reload is None
            ]
            log.info("operator's file read anew", extra={"only_by_restart": ",".join(sorted(fixed)) or "-"})


def start(extra: OperatorConfig | None, core: CoreComponents) -> dict[str, Subsystem]:
    """Each subsystem that the operator's file names, by its package's name."""
    return {
        name: importlib.import_module(f".{name}.start", __package__).start(section, core)
        for name, section in (extra.sections if extra else {}).items()
    }


async def drain(told: config.Config, broker: Broker, listeners: list[Listener], lifecycle: Lifecycle) -> None:
    """From SIGTERM on: serves for as long as the platform lets us, and ends with nothing unanswered."""

    async def wait(until: timedelta, wanted: Callable[[], object] = lambda: True) -> None:
        while wanted() and loop.time() < began + until.total_seconds():
            await asyncio.sleep(LOOK.total_seconds())

    def connected() -> object:
        waiting = [listener for listener in listeners if not listener.stop_accepting()]
        return waiting or any(listener.connections for listener in listeners)

    loop = asyncio.get_running_loop()
    began = loop.time()
    ending = shutdown_schedule(timedelta(seconds=cls.deadline) for cls in told.settings.classes.values())
    await wait(min(ending.accept_until, ending.close_connections_from))
    if ending.accept_until < ending.close_connections_from:
        await wait(ending.close_connections_from, connected)
    lifecycle.advance(Phase.CLOSING)
    broker.complete_within(ending.answer_deadline - ending.close_connections_from)
    await wait(ending.accept_until)
    await wait(ending.exit_at, connected)
    # a client that does not read its answer may not hold us
    await wait(ending.exit_at + LAST, lambda: any(listener.occupied for listener in listeners))
    if lifecycle.in_flight:
        log.warning("ends with answers that were not read", extra={"requests": lifecycle.in_flight})


async def send_clients_away(lifecycle: Lifecycle, listeners: list[Listener]) -> None:
    """Ends idle connections: while operators want the front empty, once clients have stopped coming; and while the
    new process of an upgrade takes them, as clients hold a bounded number over both."""
    loop = asyncio.get_running_loop()
    since: float | None = None
    while True:
        await asyncio.sleep(FOLLOW.total_seconds())
        inactive = lifecycle.phase is Phase.INACTIVE
        since = (since or loop.time()) if inactive else None
        left = since is not None and loop.time() - since >= CLIENTS_LEAVE_AFTER.total_seconds()
        if left or lifecycle.has_successor:
            for listener in listeners:
                listener.dismiss_idle(SILENT_IDLE_AFTER)


async def first_list(watch: Watch, lifecycle: Lifecycle, span: timedelta) -> None:
    """Waits until discovery has told its list, or the span is over, or the program is to end."""
    waits = [asyncio.create_task(watch.heard(span)), asyncio.create_task(lifecycle.reached(Phase.DRAINING))]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


async def serve(told: config.Config, extra: OperatorConfig | None, path: Path | None) -> None:
    lifecycle = Lifecycle()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, lifecycle.advance, Phase.DRAINING)
    broker = Broker(told.settings)
    suspended = SuspendedServers(SuspensionFile(told.shared_dir) if told.shared_dir else None)
    directory = Directory(suspended)
    roster = ProcessRegistry(told.shared_dir)
    roster.register()
    async with AsyncExitStack() as stack:
        stack.callback(roster.unregister)
        sockets = SocketBudget(told.sockets, controlled=told.control is not None)
        sockets.reserve_for_others(roster.descriptors_of_others())
        session = await stack.enter_async_context(open_session(told.links, sockets.outgoing))
        asking = await stack.enter_async_context(discovery.open_session())
        at_once = told.settings.ask_within == 0  # what could be heard counts as told; the known list may be old
        watch = Watch(broker, directory, asking, told.discovery, timedelta() if at_once else discovery.FIRST_WAIT)
        watch.known(told.known_servers)
        core = CoreComponents(told, broker, ChunkClient(session, directory, broker.counts), lifecycle)
        core.metric_sources.append(partial(front_samples, broker, watch))
        core.handlers["platform"] = PlatformFront(core).handle
        running = start(extra, core)
        loop.add_signal_handler(signal.SIGHUP, Reloads(told, watch, path, running))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        switch = SuspensionController(suspended, watch)
        if told.control is not None:
            await open_control(told.control, ControlFront(lifecycle, switch, core.metric_sources[0]), stack)
        tasks = [asyncio.create_task(watch.run())]
        successor = roster.has_predecessor()
        if successor:  # it takes all that is new from the moment it listens
            await first_list(watch, lifecycle, list_wait(process_age()))
        listeners: list[Listener] = []
        if not successor or lifecycle.phase is Phase.STARTING:  # one that is to end already takes nothing over
            listeners = await open_fronts(core, running, sockets, stack)
        jobs = [job for one in running.values() for job in one.jobs]
        jobs.append(send_clients_away(lifecycle, listeners))
        if told.shared_dir is not None:
            jobs.append(follow_processes(roster, switch, lifecycle, sockets, session, listeners))
        tasks += [asyncio.create_task(job) for job in jobs]
        first = watch.heard(FIRST_LIST if at_once and not successor else timedelta())
        tasks.append(asyncio.create_task(become_ready(first, lifecycle, roster)))
        await lifecycle.reached(Phase.DRAINING)
        lifecycle.has_successor = roster.has_ready_successor()
        await drain(told, broker, listeners, lifecycle)
        for task in tasks:
            task.cancel()
        broker.close()
    # what comes now has nothing to end: without its handler, which goes with the loop, it would kill
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    lifecycle.advance(Phase.STOPPED)


async def open_fronts(
    core: CoreComponents, running: dict[str, Subsystem], sockets: SocketBudget, stack: AsyncExitStack
) -> list[Listener]:
    """The clients' addresses: the platform's and those of subsystems, until the stack ends."""
    told = core.config
    fronts: list[tuple[Server, tuple[str, int]]] = [
        (Http1Server(core.handlers["platform"], MOST_BODY, MOST_WHOLE), told.listen)
    ]
    fronts += [front for one in running.values() for front in one.fronts]
    listeners = []
    for server, address in fronts:
        listener = Listener(server, 1)
        sockets.allocate([listener], len(fronts))
        await listener.open(address, shared=told.control is not None)
        stack.push_async_callback(listener.shutdown, GRACE)
        listeners.append(listener)
    return listeners


async def become_ready(first: Coroutine[Any, Any, None], lifecycle: Lifecycle, roster: ProcessRegistry) -> None:
    """After the first list, where it is waited for; changes nothing where the end has begun meanwhile."""
    await first
    lifecycle.advance(Phase.READY)
    if lifecycle.serving:
        roster.mark_ready()
        roster.publish(open_descriptor_count())


async def open_control(address: tuple[str, int], front: ControlFront, stack: AsyncExitStack) -> None:
    """The operators' address: open from the start to the very end, beside all other listeners."""
    listener = Listener(Http1Server(front.handle, CONTROL_MAX_BODY_BYTES), CONTROL_MAX_CONNECTIONS)
    await listener.open(address)
    stack.push_async_callback(listener.shutdown, GRACE)


async def follow_processes(
    roster: ProcessRegistry,
    switch: SuspensionController,
    lifecycle: Lifecycle,
    sockets: SocketBudget,
    session: aiohttp.ClientSession,
    listeners: list[Listener],
) -> None:
    """Keeps in step with the other process of an upgrade: what operators told it, and its part of the limits."""
    known, loop = roster.process_count(), asyncio.get_running_loop()
    while True:
        due = loop.time() + FOLLOW.total_seconds()
        await asyncio.sleep(FOLLOW.total_seconds())
        if (late := loop.time() - due) > HELD_UP.total_seconds():
            log.warning("event loop held up", extra={"seconds": round(late, 2)})
        switch.refresh()
        seen = await asyncio.to_thread(roster.publish_and_read, open_descriptor_count())
        lifecycle.has_successor = seen.has_ready_successor
        if seen.processes != known:
            log.info("processes of this front", extra={"was": known, "now": seen.processes})
            known = seen.processes
        if sockets.reserve_for_others(seen.descriptors_of_others):
            resize(session, sockets.outgoing)
            sockets.allocate(listeners, len(listeners))


def run(path: Path | None = None, log_format: str = "") -> int:
    """Runs one front until it is told to end; `path`: the operator's file. Returns the exit code."""
    logs.set_up(log_format)
    # signals may come while the files are being read: they wait until they can be heard
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    extra = None
    try:
        told = config.load(os.environ)
        if path is not None:
            from . import operator_config

            extra = operator_config.load(path, told.settings)
    except config.BadConfig as why:
        for fault in why.args:
            log.error("cannot start", extra={"why": fault})
        return 2
    asyncio.run(serve(told, extra, path))
    return 0
