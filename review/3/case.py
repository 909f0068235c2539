"""Case 3. See claim.txt. TROUBLE=0: the same restarts without SIGHUP."""

from __future__ import annotations

import http.client
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from fleet import Fleet, Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
SIGHUP_AFTER_S = 0.15  # after the start of the process
WAVES = 3
RESTART_S = 0.5  # the platform starts a process that has ended again after this time
ENDS_OF_ITS_OWN = 3  # on two machines at least: the rule

CONFIGURATION = {
    "generation": 1,
    "routes": [{"name": "tag", "hostname": "lines.example", "path_prefix": "/tag/", "route_type": "unsafe", "timeout_ms": 1500,
                "target_latency_ms": 200, "priority": 2, "backend": "tag-ledger", "max_retries": 1}],
    "services": [{"name": "tag-ledger", "health_check": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}],
}  # fmt: skip


def is_ready(fleet: Fleet, name: str) -> bool:
    connection = http.client.HTTPConnection(fleet.routers[name][0], fleet.ready, timeout=1)
    try:
        connection.request("GET", "/api/readyz")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def wait_ready(fleet: Fleet, names: list[str], seconds: float) -> bool:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if all(is_ready(fleet, name) for name in names):
            return True
        time.sleep(0.1)
    return False


def run(fleet: Fleet, record: Record) -> int:
    fleet.start_all()
    time.sleep(2)
    if fleet.order(CONFIGURATION, 0, 20) != 200 or not wait_ready(fleet, list(fleet.routers), 10):
        return 2
    names = list(fleet.routers)[:2]  # of five machines; share .3 is 2 of them
    ends = dict.fromkeys(names, 0)
    for _ in range(WAVES):
        for name in names:  # planned work: a restart of one machine after the other
            fleet.send(name, signal.SIGTERM)
            status = fleet.processes[name].wait(10)
            record(f"platform: {name} has ended after SIGTERM with status {status}")
            time.sleep(RESTART_S)
            fleet.start(name, bootstrap=False)
            time.sleep(SIGHUP_AFTER_S)
            if TROUBLE != "0":  # the settings file has changed: other seeds, in another order
                fleet.seeds.reverse()
                (fleet.folder / f"{name}.yaml").write_text(fleet.settings(name, bootstrap=False))
                fleet.send(name, signal.SIGHUP)
            time.sleep(1.5)
            if (status := fleet.processes[name].poll()) is not None:
                ends[name] += 1
                record(f"{name} has ended by itself with status {status}")
                fleet.start(name, bootstrap=False)
            if not wait_ready(fleet, [name], 10):
                return 2
            record(f"{name} is ready")
    record(f"ends of their own: {ends}; the rule is broken with {ENDS_OF_ITS_OWN} on two machines")
    return 1 if all(count >= ENDS_OF_ITS_OWN for count in ends.values()) else 0


record = Record(HERE / "record.txt")
fleet = Fleet(record, net=79)
try:
    result = run(fleet, record)
except Exception as error:  # noqa: BLE001 - whatever goes wrong, the case couldn't run
    record(f"couldn't run: {error!r}")
    result = 2
finally:
    fleet.stop()
record(f"exit {result}")
sys.exit(result)
