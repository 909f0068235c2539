"""One front: wiring, signals and its end."""

from __future__ import annotations

import asyncio
import importlib
import logging
import os
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from . import config, logs
from .broker import Broker
from .ending import plan
from .lifecycle import Lifecycle, Phase
from .net import discovery
from .net.chunks import ChunkClient, open_session
from .net.discovery import Directory, Watch
from .net.http1 import Http1Server
from .net.listener import RESERVE, Listener, Server
from .net.platform import MOST_BODY, PlatformFront
from .running import Core, Running

if TYPE_CHECKING:  # the operator's file and all that it switches on is loaded only where there is one
    from .operator import Operator

log = logging.getLogger("ochrespan")

GRACE = timedelta(seconds=0.1)  # for what shuts down
LOOK = timedelta(seconds=0.02)
LAST = timedelta(seconds=0.1)  # for what arrived in the very last moment
FIRST_LIST = timedelta(seconds=1)  # to hear it before the front is put to use, where it counts as told by then
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


class Reloads:
    """SIGHUP: each file goes on as it says now, or as before if it cannot be read or has a fault."""

    def __init__(self, told: config.Config, watch: Watch, path: Path | None, running: dict[str, Running]) -> None:
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
        from . import operator
        while self._wanted:
            self._wanted = False
            try:  # thousands of contracts take a second to read: requests go on meanwhile
                new = await asyncio.to_thread(operator.load, path, self._told.settings)
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
            fixed = [name for name in new.sections.keys() | self._running.keys()
                     if name not in self._running or name not in new.sections or self._running[name].reload is None]
            log.info("operator's file read anew", extra={"only_by_restart": ",".join(sorted(fixed)) or "-"})


def start(extra: Operator | None, core: Core) -> dict[str, Running]:
    """Each subsystem that the operator's file names, by its package's name."""
    return {name: importlib.import_module(f".{name}.start", __package__).start(section, core)
            for name, section in (extra.sections if extra else {}).items()}


async def drain(
    told: config.Config, broker: Broker, listeners: list[Listener], lifecycle: Lifecycle
) -> None:
    """From SIGTERM on: serves for as long as the platform lets us, and ends with nothing unanswered."""

    async def wait(until: timedelta, wanted: Callable[[], object] = lambda: True) -> None:
        while wanted() and loop.time() < began + until.total_seconds():
            await asyncio.sleep(LOOK.total_seconds())

    def connected() -> object:
        waiting = [listener for listener in listeners if not listener.stop_accepting()]
        return waiting or any(listener.connections for listener in listeners)

    loop = asyncio.get_running_loop()
    began = loop.time()
    ending = plan(timedelta(seconds=cls.deadline) for cls in told.settings.classes.values())
    await wait(min(ending.accepts, ending.closing))
    if ending.accepts < ending.closing:
        await wait(ending.closing, connected)
    lifecycle.advance(Phase.CLOSING)
    broker.end_within(ending.answered - ending.closing)
    await wait(ending.accepts)
    await wait(ending.gone, connected)
    # a client that does not read its answer may not hold us
    await wait(ending.gone + LAST, lambda: any(listener.occupied for listener in listeners))
    if lifecycle.working:
        log.warning("ends with answers that were not read", extra={"requests": lifecycle.working})


async def serve(told: config.Config, extra: Operator | None, path: Path | None) -> None:
    lifecycle = Lifecycle()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, lifecycle.advance, Phase.DRAINING)
    broker = Broker(told.settings)
    directory = Directory()
    async with AsyncExitStack() as stack:
        outgoing = told.sockets // 3  # clients may hold as many for requests, and bad ones come on top
        session = await stack.enter_async_context(open_session(told.links, outgoing))
        asking = await stack.enter_async_context(discovery.open_session())
        at_once = told.settings.ask_within == 0  # what could be heard counts as told; the known list may be old
        watch = Watch(broker, directory, asking, told.discovery, timedelta() if at_once else discovery.FIRST_WAIT)
        watch.known(told.known)
        core = Core(told, broker, ChunkClient(session, directory), lifecycle)
        core.handlers["platform"] = PlatformFront(core).handle
        running = start(extra, core)
        loop.add_signal_handler(signal.SIGHUP, Reloads(told, watch, path, running))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        fronts: list[tuple[Server, tuple[str, int]]] = [
            (Http1Server(core.handlers["platform"], MOST_BODY), told.listen)]
        fronts += [front for one in running.values() for front in one.fronts]
        listeners: list[Listener] = []
        most = (told.sockets - outgoing - RESERVE) // len(fronts)
        for server, address in fronts:
            listeners.append(Listener(server, most, outgoing // 2))
            await listeners[-1].open(address)
            stack.push_async_callback(listeners[-1].shutdown, GRACE)
        jobs = [watch.run(), *(job for one in running.values() for job in one.jobs)]
        tasks = [asyncio.create_task(job) for job in jobs]
        async def ready() -> None:
            if at_once:
                await watch.heard(FIRST_LIST)
            lifecycle.advance(Phase.READY)  # says nothing where the end has begun meanwhile

        tasks.append(asyncio.create_task(ready()))
        await lifecycle.reached(Phase.DRAINING)
        await drain(told, broker, listeners, lifecycle)
        for task in tasks:
            task.cancel()
        broker.close()
    # what comes now has nothing to end: without its handler, which goes with the loop, it would kill
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    lifecycle.advance(Phase.STOPPED)


def run(path: Path | None = None, log_format: str = "") -> int:
    """Runs one front until it is told to end; `path`: the operator's file. Returns the exit code."""
    logs.set_up(log_format)
    # signals may come while the files are being read: they wait until they can be heard
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    extra = None
    try:
        told = config.load(os.environ)
        if path is not None:
            from . import operator
            extra = operator.load(path, told.settings)
    except config.BadConfig as why:
        for fault in why.args:
            log.error("cannot start", extra={"why": fault})
        return 2
    asyncio.run(serve(told, extra, path))
    return 0
