"""Seeded schedules of events for the router's scheduler, and the actions that it returns in each.

The schedules drive the scheduler as the dispatcher does: requests arrive, attempts respond, make progress and end with
any outcome, clients disconnect, and the routing table changes. Only this module depends on the scheduler's names.
"""

from __future__ import annotations

import random
from dataclasses import asdict
from hashlib import blake2b
from itertools import count
from math import inf

from ochrespan.data_plane.decision_record import DecisionRecord
from ochrespan.data_plane.decisions import Fail, Outcome, Refuse, Request, Send, Server
from ochrespan.data_plane.scheduler import Scheduler

SEEDS = 400
DIGEST_BYTES = 12
START = 1000.0
EVENTS = 320
MODEL, LOOKUP = "model", "lookup"  # a service with prompts, and one of requests without
ZONES = ("zone-a", "zone-b")
OUTCOMES = list(Outcome)
HEALTHY_OUTCOMES = [Outcome.DONE] * 12 + [Outcome.FAILED_STATUS, Outcome.REJECTED_FULL, Outcome.LOST]
SHARED_SEGMENTS = [(f"part{number}", tokens) for number, tokens in enumerate((300, 900, 2500, 6300, 13300, 30000))]


class Schedule:
    """One run of a scheduler.

    Attributes:
        lines: The log of the run: a line for each action, and one for each decision record.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._now = START
        self._numbers = count(1)
        self._server_numbers = count(1)
        self._running: dict[str, str] = {}  # server id by request id, of attempts in flight
        self._records: list[DecisionRecord] = []
        self._servers: dict[str, Server] = {}
        self._faulty: set[str] = set()
        self._routers = self._rng.choice([1, 1, 2, 5, 40])
        self._scheduler = Scheduler(ZONES[0], seed, 0.2, self._rng.choice([0.0, 5.0, 60.0]), 10.0)
        self._pressure = self._rng.choice([0.3, 1.0, 3.0, 15.0])  # arrivals over the usual ratio to ends
        self.lines: list[str] = []

    def play(self) -> list[str]:
        """Runs all events and returns the lines."""
        for service, max_servers_of in ((MODEL, 7), (LOOKUP, 3)):
            for _ in range(self._rng.randint(1, max_servers_of)):
                self._add_server(service)
        self._reload(None)
        for _ in range(EVENTS):
            self._step()
        for _ in range(EVENTS):  # until the remaining requests end
            if not self._running and self._scheduler.next_tick(self._now) == inf:
                break
            self._advance(0.05)
            self._end_one()
        self.lines += [f"record {asdict(record)}" for record in self._records]
        return self.lines

    def _step(self) -> None:
        self._advance(self._rng.expovariate(20.0))
        kinds = {"submit": 10 * self._pressure, "first": 8, "progress": 3, "end": 9, "cancel": 1, "reload": 1}
        kind = self._rng.choices(list(kinds), list(kinds.values()))[0]
        match kind:
            case "submit":
                self._submit()
            case "first":
                self._first_event()
            case "progress":
                self._progress()
            case "end":
                self._end_one()
            case "cancel":
                self._cancel()
            case "reload":
                self._change_servers()

    def _advance(self, seconds: float) -> None:
        """Advances the time, and calls the scheduler whenever a tick is due."""
        end = self._now + seconds
        while (at := self._scheduler.next_tick(self._now)) <= end:
            self._now = max(self._now, at)
            self._take(self._scheduler.tick(self._now))
        self._now = end

    def _take(self, actions: list) -> None:
        for action in actions:
            match action:
                case Send():
                    self._running[action.request_id] = action.server_id
                    detail = f"{action.server_id} {action.attempt} {action.priority} {action.timeout_s!r}"
                case Refuse():
                    self._running.pop(action.request_id, None)
                    detail = f"{action.status} {action.retry_after!r}"
                case Fail():
                    self._running.pop(action.request_id, None)
                    detail = f"{action.status}"
            self.lines.append(f"{self._now!r} {type(action).__name__} {action.request_id} {detail}")

    # Requests

    def _submit(self) -> None:
        rng = self._rng
        request_id = f"r{next(self._numbers)}"
        is_generation = rng.random() < 0.75
        latency_target_s = rng.choice([0.2, 0.5, 1.0, 8.0])
        record = DecisionRecord(request_id, 0.0) if rng.random() < 0.1 else None
        if record is not None:
            self._records.append(record)
        prefix = (*rng.sample(SHARED_SEGMENTS, rng.randint(0, 2)), (request_id, rng.randint(10, 4000)))
        request = Request(
            id=request_id,
            service=MODEL if is_generation else LOOKUP,
            tenant=rng.choice(["acme"] * 4 + ["bolt", "crux", "dune", "elm", "fen"]),
            route=rng.choice(["audit", "review", "chat"]) if is_generation else "tag",
            priority=rng.randint(0, 3),
            safe=rng.random() < 0.3,
            resumable=is_generation and rng.random() < 0.4,
            streaming=is_generation,
            latency_target_s=latency_target_s,
            deadline=self._now + latency_target_s * rng.choice([0.5, 2.0, 10.0]),
            max_servers=rng.randint(1, 3),
            tokens_in=sum(tokens for _, tokens in prefix) if is_generation else 0,
            tokens_out=rng.randint(5, 400) if is_generation else 0,
            prefix=prefix if is_generation else (),
            arrived_at=self._now,
            affinity_server_id=rng.choice(["", "", *self._servers]) if is_generation else "",
            record=record,
        )
        request.is_prefix_uncached = is_generation and rng.random() < 0.2
        self._take(self._scheduler.submit(self._now, request))

    def _first_event(self) -> None:
        if self._running:
            request_id = self._rng.choice(list(self._running))
            self._scheduler.first_event(self._now, request_id, self._rng.choice([0.02, 0.1, 0.4, 2.0]))

    def _progress(self) -> None:
        if self._running:
            self._scheduler.progress(self._now, self._rng.choice(list(self._running)))

    def _end_one(self) -> None:
        if not self._running:
            return
        request_id = self._rng.choice(list(self._running))
        server_id = self._running.pop(request_id)
        outcomes = OUTCOMES if server_id in self._faulty else HEALTHY_OUTCOMES
        self._take(self._scheduler.ended(self._now, request_id, self._rng.choice(outcomes)))

    def _cancel(self) -> None:
        if self._running:
            request_id = self._rng.choice(list(self._running))
            del self._running[request_id]
            self._take(self._scheduler.cancel(self._now, request_id))

    # Servers

    def _add_server(self, service: str) -> None:
        rng = self._rng
        server_id = f"i{next(self._server_numbers)}"
        is_model = service == MODEL
        self._servers[server_id] = Server(
            server_id,
            service,
            ("10.0.0.1", 8000 + len(self._servers)),
            rng.choice(ZONES),
            rng.choice([1, 2, 4, 16, 64]),
            rng.choice([0, 60_000, 500_000]) if is_model else 0,
            False,
            self._now + 2.0 if rng.random() < 0.2 else 0.0,
            rng.choice([0, 30, 600]),
        )
        if rng.random() < 0.2:
            self._faulty.add(server_id)

    def _change_servers(self) -> None:
        """Adds, drains, removes or breaks a server, or changes the number of routers."""
        rng = self._rng
        listed = list(self._servers)
        match rng.choice(["add", "drain", "remove", "fault", "recover", "routers"]):
            case "add":
                self._add_server(rng.choice([MODEL, LOOKUP]))
            case "drain" if listed:
                self._servers[rng.choice(listed)].draining = True
            case "remove" if len(listed) > 1:
                del self._servers[rng.choice(listed)]
            case "fault" if listed:
                self._faulty.add(rng.choice(listed))
            case "recover":
                self._faulty.clear()
            case "routers":
                self._routers = max(1, self._routers + rng.choice([-1, 1, 10]))
        self._reload(None if rng.random() < 0.5 else [MODEL, LOOKUP])

    def _reload(self, services: list[str] | None) -> None:
        rank = self._rng.randrange(self._routers)
        servers = list(self._servers.values())
        self._take(self._scheduler.set_servers(self._now, servers, self._routers, rank, services))


def digest_of(lines: list[str]) -> str:
    """Returns the number of the lines and their digest."""
    return f"{len(lines)} {blake2b(chr(10).join(lines).encode(), digest_size=DIGEST_BYTES).hexdigest()}"
