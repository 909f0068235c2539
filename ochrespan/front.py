"""One front process: assembly of its components, signal handling and shutdown."""

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
from .net.chunk_client import ChunkClient
from .net.client_session import open_session, set_connection_limit
from .net.discovery import Directory, Watch
from .net.http1 import Http1Server
from .net.listener import Listener, Server
from .net.platform import MAX_BUFFERED_BODY_BYTES, PlatformFront
from .net.request_bodies import MAX_BODY_BYTES
from .shutdown_schedule import CLIENTS_LEAVE_AFTER, IDLE_WITHOUT_REQUEST_AFTER, shutdown_schedule
from .sockets import SocketBudget, open_descriptor_count
from .subsystem import CoreComponents, Subsystem
from .suspension import SuspendedServers, SuspensionController, SuspensionFile
from .upgrade import ProcessRegistry, list_wait, process_age

if TYPE_CHECKING:  # loaded only if there is an operator's file, like the subsystems that it enables
    from .operator_config import OperatorConfig

log = logging.getLogger("ochrespan")

SHUTDOWN_GRACE = timedelta(seconds=0.1)  # for each listener to shut down
DRAIN_POLL_INTERVAL = timedelta(seconds=0.02)
LAST_RESPONSES_GRACE = timedelta(seconds=0.1)  # for requests that arrived just before the exit
# Wait for the first list before the front is ready, where the settings take changes of the list as known at once.
FIRST_LIST_TIMEOUT = timedelta(seconds=1)
LOOP_DELAY_WARNING = timedelta(seconds=0.5)  # an event loop delay above this is logged
PROCESS_POLL_INTERVAL = timedelta(seconds=0.1)  # between checks of the phase and of the other process of an upgrade
HANDLED_SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


class ReloadHandler:
    """Reloads both files on SIGHUP; a file that cannot be read or has errors leaves its previous content in effect."""

    def __init__(
        self, configuration: config.Config, watch: Watch, path: Path | None, subsystems: dict[str, Subsystem]
    ) -> None:
        self._configuration, self._watch, self._path, self._subsystems = configuration, watch, path, subsystems
        self._reload_requested = False  # may be set again during a reload: the file may have changed since it was read
        self._operator_reload: asyncio.Task[None] | None = None

    def __call__(self) -> None:
        self._reload_configuration()
        if self._path is not None:
            self._reload_requested = True
            if self._operator_reload is None or self._operator_reload.done():
                self._operator_reload = asyncio.create_task(self._reload_operator_config(self._path))

    def _reload_configuration(self) -> None:
        try:
            new, fixed = config.reload(os.environ, self._configuration)
        except config.BadConfig as error:
            log.error("reload failed; keeping the previous configuration", extra={"why": str(error)})
            return
        details = {"discovery": new.discovery, "only_by_restart": ",".join(fixed) or "-"}
        log.info("configuration reloaded", extra=details)
        self._watch.change_address(new.discovery)

    async def _reload_operator_config(self, path: Path) -> None:
        from . import operator_config

        while self._reload_requested:
            self._reload_requested = False
            try:  # in a thread: reading thousands of contracts takes a second and must not delay requests
                new = await asyncio.to_thread(operator_config.load, path, self._configuration.settings)
            except config.BadConfig as error:
                for fault in error.args:
                    log.error("reload failed; keeping the previous operator's file", extra={"why": fault})
                continue
            except Exception:
                log.exception("reload failed; keeping the previous operator's file")
                continue
            for name, section in new.sections.items():
                if name in self._subsystems and (apply_section := self._subsystems[name].reload) is not None:
                    apply_section(section)
            fixed = [
                name
                for name in new.sections.keys() | self._subsystems.keys()
                if name not in self._subsystems or name not in new.sections or self._subsystems[name].reload is None
            ]
            log.info("operator's file reloaded", extra={"only_by_restart": ",".join(sorted(fixed)) or "-"})


def start_subsystems(operator_settings: OperatorConfig | None, components: CoreComponents) -> dict[str, Subsystem]:
    """Starts each subsystem that the operator's file enables; returns them by the name of their package."""
    return {
        name: importlib.import_module(f".{name}.start", __package__).start(section, components)
        for name, section in (operator_settings.sections if operator_settings else {}).items()
    }


async def drain(configuration: config.Config, broker: Broker, listeners: list[Listener], lifecycle: Lifecycle) -> None:
    """Runs the shutdown after SIGTERM: serves until shortly before SIGKILL and leaves no request unanswered."""

    async def wait(until: timedelta, condition: Callable[[], object] = lambda: True) -> None:
        while condition() and loop.time() < began + until.total_seconds():
            await asyncio.sleep(DRAIN_POLL_INTERVAL.total_seconds())

    def connected() -> object:
        waiting = [listener for listener in listeners if not listener.stop_accepting()]
        return waiting or any(listener.connections for listener in listeners)

    loop = asyncio.get_running_loop()
    began = loop.time()
    schedule = shutdown_schedule(timedelta(seconds=cls.deadline) for cls in configuration.settings.classes.values())
    await wait(min(schedule.accept_until, schedule.close_connections_from))
    if schedule.accept_until < schedule.close_connections_from:
        await wait(schedule.close_connections_from, connected)
    lifecycle.advance(Phase.CLOSING)
    broker.complete_within(schedule.response_deadline - schedule.close_connections_from)
    await wait(schedule.accept_until)
    await wait(schedule.exit_at, connected)
    # a client that does not read its response must not delay the exit
    await wait(
        schedule.exit_at + LAST_RESPONSES_GRACE, lambda: any(listener.has_open_requests for listener in listeners)
    )
    if lifecycle.in_flight:
        log.warning("ends with answers that were not read", extra={"requests": lifecycle.in_flight})


async def close_idle_connections(lifecycle: Lifecycle, listeners: list[Listener]) -> None:
    """Closes idle connections in two cases: an operator drains the front and its clients have had time to move away,
    or the new process of an upgrade accepts connections, as clients open a bounded number to both processes."""
    loop = asyncio.get_running_loop()
    inactive_since: float | None = None
    while True:
        await asyncio.sleep(PROCESS_POLL_INTERVAL.total_seconds())
        inactive = lifecycle.phase is Phase.INACTIVE
        inactive_since = (inactive_since or loop.time()) if inactive else None
        clients_gone = (
            inactive_since is not None and loop.time() - inactive_since >= CLIENTS_LEAVE_AFTER.total_seconds()
        )
        if clients_gone or lifecycle.has_successor:
            for listener in listeners:
                listener.close_idle(IDLE_WITHOUT_REQUEST_AFTER)


async def wait_for_first_list(watch: Watch, lifecycle: Lifecycle, timeout: timedelta) -> None:
    """Waits for the first list from discovery, the timeout or the begin of the shutdown, whichever is first."""
    waits = [
        asyncio.create_task(watch.wait_for_first_list(timeout)),
        asyncio.create_task(lifecycle.reached(Phase.DRAINING)),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


async def serve(configuration: config.Config, operator_settings: OperatorConfig | None, path: Path | None) -> None:
    lifecycle = Lifecycle()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, lifecycle.advance, Phase.DRAINING)
    broker = Broker(configuration.settings)
    suspended = SuspendedServers(SuspensionFile(configuration.shared_dir) if configuration.shared_dir else None)
    directory = Directory(suspended)
    registry = ProcessRegistry(configuration.shared_dir)
    registry.register()
    async with AsyncExitStack() as stack:
        stack.callback(registry.unregister)
        sockets = SocketBudget(configuration.sockets, controlled=configuration.control is not None)
        sockets.reserve_for_others(registry.descriptors_of_others())
        session = await stack.enter_async_context(open_session(configuration.links, sockets.outgoing))
        discovery_session = await stack.enter_async_context(discovery.open_session())
        list_due_at_once = configuration.settings.max_poll_interval == 0  # the configured list may be outdated
        watch = Watch(
            broker,
            directory,
            discovery_session,
            configuration.discovery,
            timedelta() if list_due_at_once else discovery.FIRST_LONG_POLL_WAIT,
        )
        watch.load_known_list(configuration.known_servers)
        components = CoreComponents(configuration, broker, ChunkClient(session, directory, broker.counts), lifecycle)
        components.metric_sources.append(partial(front_samples, broker, watch))
        components.handlers["platform"] = PlatformFront(components).handle
        subsystems = start_subsystems(operator_settings, components)
        loop.add_signal_handler(signal.SIGHUP, ReloadHandler(configuration, watch, path, subsystems))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        suspensions = SuspensionController(suspended, watch)
        if configuration.control is not None:
            await open_control(
                configuration.control, ControlFront(lifecycle, suspensions, components.metric_sources[0]), stack
            )
        tasks = [asyncio.create_task(watch.run())]
        is_successor = registry.has_predecessor()
        if is_successor:  # it gets all new connections as soon as it listens
            await wait_for_first_list(watch, lifecycle, list_wait(process_age()))
        listeners: list[Listener] = []
        if not is_successor or lifecycle.phase is Phase.STARTING:  # else SIGTERM came before it listened
            listeners = await open_fronts(components, subsystems, sockets, stack)
        background_jobs = [job for subsystem in subsystems.values() for job in subsystem.jobs]
        background_jobs.append(close_idle_connections(lifecycle, listeners))
        if configuration.shared_dir is not None:
            background_jobs.append(follow_processes(registry, suspensions, lifecycle, sockets, session, listeners))
        tasks += [asyncio.create_task(job) for job in background_jobs]
        first = watch.wait_for_first_list(FIRST_LIST_TIMEOUT if list_due_at_once and not is_successor else timedelta())
        tasks.append(asyncio.create_task(become_ready(first, lifecycle, registry)))
        await lifecycle.reached(Phase.DRAINING)
        lifecycle.has_successor = registry.has_ready_successor()
        await drain(configuration, broker, listeners, lifecycle)
        for task in tasks:
            task.cancel()
        broker.close()
    # The signal handlers are removed with the event loop; a signal after that would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    lifecycle.advance(Phase.STOPPED)


async def open_fronts(
    components: CoreComponents, subsystems: dict[str, Subsystem], sockets: SocketBudget, stack: AsyncExitStack
) -> list[Listener]:
    """Opens the listeners for clients, those of the platform and of the subsystems; the stack closes them."""
    configuration = components.config
    fronts: list[tuple[Server, tuple[str, int]]] = [
        (Http1Server(components.handlers["platform"], MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES), configuration.listen)
    ]
    fronts += [front for subsystem in subsystems.values() for front in subsystem.fronts]
    listeners = []
    for server, address in fronts:
        listener = Listener(server, 1)
        sockets.allocate([listener], len(fronts))
        await listener.open(address, shared=configuration.control is not None)
        stack.push_async_callback(listener.shutdown, SHUTDOWN_GRACE)
        listeners.append(listener)
    return listeners


async def become_ready(first: Coroutine[Any, Any, None], lifecycle: Lifecycle, registry: ProcessRegistry) -> None:
    """Enters READY after the first list; without effect if the shutdown has begun."""
    await first
    lifecycle.advance(Phase.READY)
    if lifecycle.serving:
        registry.mark_ready()
        registry.publish(open_descriptor_count())


async def open_control(address: tuple[str, int], front: ControlFront, stack: AsyncExitStack) -> None:
    """Opens the control address, which stays open during the whole shutdown."""
    listener = Listener(Http1Server(front.handle, CONTROL_MAX_BODY_BYTES), CONTROL_MAX_CONNECTIONS)
    await listener.open(address)
    stack.push_async_callback(listener.shutdown, SHUTDOWN_GRACE)


async def follow_processes(
    registry: ProcessRegistry,
    suspensions: SuspensionController,
    lifecycle: Lifecycle,
    sockets: SocketBudget,
    session: aiohttp.ClientSession,
    listeners: list[Listener],
) -> None:
    """Follows the other process of an upgrade: its suspensions, its readiness and its use of descriptors."""
    last_count, loop = registry.process_count(), asyncio.get_running_loop()
    while True:
        due = loop.time() + PROCESS_POLL_INTERVAL.total_seconds()
        await asyncio.sleep(PROCESS_POLL_INTERVAL.total_seconds())
        if (delay := loop.time() - due) > LOOP_DELAY_WARNING.total_seconds():
            log.warning("event loop held up", extra={"seconds": round(delay, 2)})
        suspensions.refresh()
        view = await asyncio.to_thread(registry.publish_and_read, open_descriptor_count())
        lifecycle.has_successor = view.has_ready_successor
        if view.processes != last_count:
            log.info("processes of this front", extra={"was": last_count, "now": view.processes})
            last_count = view.processes
        if sockets.reserve_for_others(view.descriptors_of_others):
            set_connection_limit(session, sockets.outgoing)
            sockets.allocate(listeners, len(listeners))


def run(path: Path | None = None, log_format: str = "") -> int:
    """Runs one front until a signal ends it; `path`: the operator's file. Returns the exit code."""
    logs.set_up(log_format)
    # signals that arrive while the files are read stay pending until their handlers are installed
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    operator_settings = None
    try:
        configuration = config.load(os.environ)
        if path is not None:
            from . import operator_config

            operator_settings = operator_config.load(path, configuration.settings)
    except config.BadConfig as error:
        for fault in error.args:
            log.error("cannot start", extra={"why": fault})
        return 2
    asyncio.run(serve(configuration, operator_settings, path))
    return 0
