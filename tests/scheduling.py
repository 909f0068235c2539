"""Builders of requests, servers and schedulers for the tests of the router's scheduler."""

from __future__ import annotations

from dataclasses import replace

from ochrespan.data_plane.scheduler import Action, Request, Scheduler, Send, Server

REQUEST = Request(
    id="r0", service="llm", tenant="a", route="chat", priority=0, safe=False, resumable=False, streaming=True,
    latency_target_s=0.5, deadline=110.0, max_servers=1, tokens_in=1000, tokens_out=50,
    prefix=(("system", 400), ("subject", 300), ("own", 300)), arrived_at=100.0,
)  # fmt: skip
PLAIN = replace(REQUEST, route="tag", streaming=False, tokens_in=0, tokens_out=0, prefix=())


def server(number: int, **changes) -> Server:
    fields = {"capacity": 8, "kv_tokens": 100_000, "zone": f"z{number % 3}", "service": "llm"} | changes
    return Server(id=f"i{number}", address=("10.0.0.1", 8000 + number), **fields)


def scheduler(servers: int = 3, routers: int = 1, now: float = 80.0, **changes) -> Scheduler:
    sched = Scheduler("z0", 7, retry_ratio=0.2, retry_slack=10.0, retry_window=10.0)
    sched.set_servers(now, [server(i, **changes) for i in range(servers)], routers, 0)
    return sched


def submit(sched: Scheduler, number: int, now: float = 100.0, template: Request = REQUEST, **changes) -> list[Action]:
    fields = {"id": f"r{number}", "arrived_at": now, "deadline": now + 10.0} | changes
    return sched.submit(now, replace(template, **fields))


def sent_server_ids(actions: list[Action]) -> list[str]:
    """Returns the server ids of all sends."""
    return [action.server_id for action in actions if isinstance(action, Send)]
