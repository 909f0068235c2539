"""One front: wiring and signals. Run as `python -m ochrespan`."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from datetime import timedelta

from aiohttp import web

from . import config, logs
from .broker import Broker
from .lifecycle import Lifecycle, Phase
from .net.chunks import ChunkClient, open_session
from .net.discovery import Directory, Watch
from .net.platform import PlatformFront

log = logging.getLogger("ochrespan")

# after SIGTERM new connections come for up to 0.4 s, and all that arrives within 0.7 s is answered
ACCEPTS = timedelta(seconds=0.8)
LOOK = timedelta(seconds=0.02)


async def serve(told: config.Config) -> None:
    lifecycle = Lifecycle()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, lifecycle.advance, Phase.DRAINING)
    broker = Broker(told.settings)
    directory = Directory()
    async with open_session(told.links, told.sockets // 2) as session:
        watch = Watch(broker, directory, session, told.discovery)
        watch.known(told.known)
        front = PlatformFront(broker, ChunkClient(session, directory), lifecycle)
        server = web.Server(front.handle, handler_cancellation=True, access_log=None, auto_decompress=False)
        listener = await loop.create_server(server, *told.listen, backlog=1024, reuse_address=True)
        watching = asyncio.create_task(watch.run())
        lifecycle.advance(Phase.READY)
        await lifecycle.reached(Phase.DRAINING)
        await asyncio.sleep(ACCEPTS.total_seconds())
        listener.close()
        while broker.held:
            await asyncio.sleep(LOOK.total_seconds())
        await server.shutdown(1.0)
        watching.cancel()
        broker.close()
    lifecycle.advance(Phase.STOPPED)


def main() -> int:
    logs.set_up()
    try:
        told = config.load(os.environ)
    except config.BadConfig as why:
        log.error("cannot start", extra={"why": str(why)})
        return 2
    asyncio.run(serve(told))
    return 0


if __name__ == "__main__":
    sys.exit(main())
