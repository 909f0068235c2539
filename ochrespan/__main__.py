"""One front: wiring and signals. Run as `python -m ochrespan`, with `--operator FILE` for what is off else."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import logging
import os
import signal
import sys
from collections.abc import Callable
from contextlib import AsyncExitStack
from datetime import timedelta
from pathlib import Path
from typing import Any

from . import config, logs, operator
from .broker import Broker
from .lifecycle import Lifecycle, Phase
from .metrics.exporters import Collectd, Graphite
from .net import discovery
from .net.chunks import ChunkClient, open_session
from .net.discovery import Directory, Watch
from .net.listener import RESERVE, Listener
from .net.platform import MOST_BODY, PlatformFront
from .objects.front import ObjectFront
from .objects.store import ChunkStore
from .objects.uploads import Uploads

log = logging.getLogger("ochrespan")

# After SIGTERM new connections come for up to 0.4 s. Clients go on using those they have, since no other front
# serves their volumes, until SIGKILL: it comes the longest deadline, at most 3 s, and 0.7 s later or after that.
ACCEPTS = timedelta(seconds=0.8)
LONGEST, PATIENCE = timedelta(seconds=3), timedelta(seconds=0.7)
CLOSING = timedelta(seconds=0.75)  # so long before SIGKILL each answer ends its connection ...
ANSWERED = timedelta(seconds=0.4)  # ... every request has its final answer ...
GONE = timedelta(seconds=0.3)  # ... and the program ends
GRACE = timedelta(seconds=0.1)  # for what shuts down
LOOK = timedelta(seconds=0.02)


def object_front(
    told: config.Config, objects: operator.Objects, broker: Broker, client: ChunkClient, lifecycle: Lifecycle
) -> ObjectFront:
    deadlines = {cls.name: timedelta(seconds=cls.deadline) for cls in told.settings.classes.values()}
    store = ChunkStore(broker, client, told.links.shards, told.settings.most_units, deadlines)
    uploads = Uploads(store, told.links.rank, told.settings.heads, objects.least_part)
    return ObjectFront(objects, store, uploads, lifecycle)


def reload(told: config.Config, watch: Watch) -> None:
    """SIGHUP: goes on with what the file says now, or as before if it cannot be read."""
    try:
        new, fixed = config.reload(os.environ, told)
    except config.BadConfig as why:
        log.error("the old configuration stays", extra={"why": str(why)})
        return
    told_to = {"discovery": new.discovery, "only_by_restart": ",".join(fixed) or "-"}
    log.info("configuration read anew", extra=told_to)
    watch.move(new.discovery)


async def drain(
    told: config.Config, broker: Broker, listeners: list[Listener], lifecycle: Lifecycle
) -> None:
    """From SIGTERM on: serves for as long as the platform lets us, and ends with nothing unanswered."""

    async def wait(until: timedelta, wanted: Callable[[], object]) -> None:
        while wanted() and loop.time() < began + until.total_seconds():
            await asyncio.sleep(LOOK.total_seconds())

    loop = asyncio.get_running_loop()
    began = loop.time()
    longest = max((timedelta(seconds=cls.deadline) for cls in told.settings.classes.values()), default=LONGEST)
    killed = max(min(longest, LONGEST) + PATIENCE, ACCEPTS + CLOSING)
    await asyncio.sleep(ACCEPTS.total_seconds())
    for listener in listeners:
        listener.stop_accepting()
    await wait(killed - CLOSING, lambda: any(listener.connections for listener in listeners))
    lifecycle.advance(Phase.CLOSING)
    broker.end_within(CLOSING - ANSWERED)
    # a client that does not read its answer may not hold us
    await wait(killed - GONE, lambda: lifecycle.working)
    if lifecycle.working:
        log.warning("ends with answers that were not read", extra={"requests": lifecycle.working})


async def serve(told: config.Config, extra: operator.Operator) -> None:
    lifecycle = Lifecycle()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, lifecycle.advance, Phase.DRAINING)
    broker = Broker(dataclasses.replace(told.settings, plans=told.settings.plans | extra.plans))
    directory = Directory()
    async with AsyncExitStack() as stack:
        outgoing = told.sockets // 3  # clients may hold as many for requests, and bad ones come on top
        session = await stack.enter_async_context(open_session(told.links, outgoing))
        asking = await stack.enter_async_context(discovery.open_session())
        watch = Watch(broker, directory, asking, told.discovery)
        watch.known(told.known)
        loop.add_signal_handler(signal.SIGHUP, reload, told, watch)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        client = ChunkClient(session, directory)
        fronts: list[tuple[Any, tuple[str, int], int | None]] = [
            (PlatformFront(broker, client, lifecycle).handle, told.listen, MOST_BODY)]
        if extra.objects is not None:
            front = object_front(told, extra.objects, broker, client, lifecycle)
            fronts.append((front.handle, extra.objects.listen, None))
        jobs = [watch.run()]
        jobs += [Graphite(extra.graphite, told.name, broker).run()] if extra.graphite else []
        jobs += [Collectd(extra.collectd, told.name, broker).run()] if extra.collectd else []
        listeners: list[Listener] = []
        most = (told.sockets - outgoing - RESERVE) // len(fronts)
        for handle, address, most_body in fronts:
            listeners.append(Listener(handle, most, most_body, outgoing // 2))
            await listeners[-1].open(address)
            stack.push_async_callback(listeners[-1].shutdown, GRACE)
        tasks = [asyncio.create_task(job) for job in jobs]
        lifecycle.advance(Phase.READY)
        await lifecycle.reached(Phase.DRAINING)
        await drain(told, broker, listeners, lifecycle)
        for task in tasks:
            task.cancel()
        broker.close()
    lifecycle.advance(Phase.STOPPED)


def main() -> int:
    parser = argparse.ArgumentParser(prog="ochrespan", description="One front of the broker.")
    parser.add_argument("--operator", type=Path, help="the operator's file: object API, teams, exporters")
    chosen = parser.parse_args()
    logs.set_up()
    # a reload may be asked for while the file is being read: it waits until it can be heard
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        told = config.load(os.environ)
        extra = operator.load(chosen.operator, told.settings) if chosen.operator else operator.Operator()
    except config.BadConfig as why:
        log.error("cannot start", extra={"why": str(why)})
        return 2
    asyncio.run(serve(told, extra))
    return 0


if __name__ == "__main__":
    sys.exit(main())
