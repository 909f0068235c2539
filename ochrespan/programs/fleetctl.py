"""The operator's command line: `python3 -m ochrespan.programs.fleetctl COMMAND`.

Every command of the fleet takes `--controllers IP:PORT ...`, the control addresses of one or more controllers; the
default is the seeds of the settings file that OCHRESPAN_SETTINGS names.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import defopt
from returns.result import Success

from ochrespan.common.validation import ValidationError
from ochrespan.control_plane.api.handlers import CLUSTER_HEADER
from ochrespan.programs.fleetctl_commands import reports as fleet_reports
from ochrespan.programs.fleetctl_commands.common import (
    client_for_fleet,
    client_for_process,
    clients_for_each,
    current_configuration,
    fleet_status,
    read_configuration,
    unwrap_document,
)
from ochrespan.programs.fleetctl_commands.state_commands import backup, drain_instance, restore

from .errors import CommandFailedError, ExitStatus
from .settings import read_settings

DEFAULT_DECLINE_S = 600.0


def status(*, controllers: list[str] | None = None) -> str:
    """Show the configuration's version, the shards and their leaders.

    :param controllers: control addresses to ask, in turn
    """
    return fleet_reports.status_report(fleet_status(controllers))


def members(*, controllers: list[str] | None = None) -> str:
    """Show the live controllers and routers.

    :param controllers: control addresses to ask, in turn
    """
    return fleet_reports.members_report(fleet_status(controllers))


def instances(*, service: str = "", controllers: list[str] | None = None) -> str:
    """Show the registered servers.

    :param service: only those of this service
    :param controllers: control addresses to ask, in turn
    """
    return fleet_reports.instances_report(fleet_status(controllers), service)


def show(*, controllers: list[str] | None = None) -> str:
    """Print the newest configuration as JSON.

    :param controllers: control addresses to ask, in turn
    """
    return json.dumps(current_configuration(client_for_fleet(controllers)), indent=2)


def history(*, last: int = 20, controllers: list[str] | None = None) -> str:
    """Show the latest changes of the configuration, the newest last.

    :param last: how many
    :param controllers: control addresses to ask, in turn
    """
    changes = unwrap_document(client_for_fleet(controllers).get("/api/config/history"))["changes"]
    return fleet_reports.history_report(changes[-last:] if last > 0 else [])


def check(file: Path) -> str:
    """Check a configuration without sending it; all findings are reported together.

    :param file: the configuration as JSON
    """
    document = read_configuration(file)
    return f"{file}: valid, version {document['generation']}, {len(document['routes'])} routes"


def diff(file: Path, *, controllers: list[str] | None = None) -> str:
    """Show what applying a configuration would change.

    :param file: the configuration as JSON
    :param controllers: control addresses to ask, in turn
    """
    current = current_configuration(client_for_fleet(controllers))
    return fleet_reports.difference_report(current, read_configuration(file)) or "no difference"


def apply(file: Path, *, builds_on: int | None = None, cluster: str = "", controllers: list[str] | None = None) -> str:
    """Send a configuration, again and unchanged until there is a verdict.

    :param file: the configuration as JSON
    :param builds_on: the version that the change was made on; without it the present one
    :param cluster: the fleet that it is meant for, as `status` shows it; controllers of another refuse it
    :param controllers: control addresses to ask, in turn
    """
    client = client_for_fleet(controllers)
    document = read_configuration(file)
    version = builds_on
    if version is None:
        current = current_configuration(client)
        if current == document:
            return f"in force already: version {current['generation']}"
        version = current["generation"]
    headers = {"If-Match": str(version)}
    if cluster:
        headers[CLUSTER_HEADER] = cluster
    response = unwrap_document(client.put("/api/config", document, headers))
    return f"taken: version {response['generation']} on top of {version}"


def drain(instance: str, *, controllers: list[str] | None = None) -> str:
    """Tell the routers to send nothing more to a server. This holds until the server's end.

    :param instance: the id of the server's incarnation
    :param controllers: control addresses to ask, in turn
    """
    client = client_for_fleet(controllers)
    listed = unwrap_document(client.get("/api/status"))["instances"]
    record = next((each for each in listed if each["id"] == instance), None)
    if record is None:
        raise CommandFailedError(f"instance: found {instance!r}, allowed one of those that `instances` shows")
    drain_instance(client, record)
    return f"draining: {instance} of {record['backend']} at {record['address']}"


def hand_over(controller: str, *, for_s: float = DEFAULT_DECLINE_S) -> str:
    """Make a controller hand over the shards that it leads, and lead none for a time, as long as others do.

    :param controller: its control address
    :param for_s: seconds; 0 ends an earlier hand-over
    """
    unwrap_document(client_for_process("controller", controller).put("/api/leadership", {"decline_for_s": for_s}))
    return f"{controller}: leads nothing for {for_s:g} s" if for_s else f"{controller}: may lead again"


def proceed(*, controllers: list[str] | None = None) -> str:
    """Let a new fleet accept commands although initial members are missing, at every controller that is named.

    Only for initial members that will never come, and that have been in no other fleet.

    :param controllers: control addresses, each of which is called
    """
    document = {"proceed_without_missing": True}
    results = [client.put("/api/bootstrap", document) for client in clients_for_each(controllers)]
    accepted = [result.unwrap() for result in results if isinstance(result, Success)]
    if not accepted:
        unwrap_document(results[-1])  # raises
    missing = {address for response in accepted for address in response["missing_initial_members"]}
    report = [f"proceeds without: {', '.join(sorted(missing)) or 'nobody is missing'}"]
    failures = [str(result.failure()) for result in results if not isinstance(result, Success)]
    return "\n".join([*report, *failures])


def drain_router(router: str) -> str:
    """Make a router say that it is not ready, so that the platform sends it no new connections.

    :param router: its `ready` address
    """
    unwrap_document(client_for_process("router", router).put("/api/readiness", {"drained": True}))
    return f"{router}: drained; what it has goes on"


def activate_router(router: str) -> str:
    """End the drain of a router.

    :param router: its `ready` address
    """
    unwrap_document(client_for_process("router", router).put("/api/readiness", {"drained": False}))
    return f"{router}: takes new connections"


def router_status(*routers: str) -> str:
    """Show the version, offset and followed controller of routers, and the age of each, one router a line.

    :param routers: their `ready` addresses
    """
    results = [(router, client_for_process("router", router, rounds=1).get("/api/feed")) for router in routers]
    return fleet_reports.feed_report(
        (router, result.unwrap() if isinstance(result, Success) else None) for router, result in results
    )


def check_settings(file: Path) -> str:
    """Check a settings file; all findings are reported together.

    :param file: the settings as YAML
    """
    settings = read_settings(file)
    return f"{file}: valid, {settings['node']} in {settings['zone']}"


COMMANDS = {
    "status": status,
    "members": members,
    "instances": instances,
    "config": {"show": show, "history": history, "check": check, "diff": diff, "apply": apply},
    "drain": drain,
    "router": {"drain": drain_router, "activate": activate_router, "status": router_status},
    "hand-over": hand_over,
    "bootstrap": {"proceed": proceed},
    "backup": backup,
    "restore": restore,
    "settings": {"check": check_settings},
}


def main(arguments: list[str] | None = None) -> int:
    """Runs a command; prints its result, or its error on standard error. Returns the exit status."""
    try:
        print(defopt.run(COMMANDS, argv=arguments, show_types=False))
    except ValidationError as error:
        print("\n".join(map(str, error.findings)), file=sys.stderr)
        return ExitStatus.FAILED
    except CommandFailedError as error:
        print(error, file=sys.stderr)
        return error.exit_status
    return ExitStatus.OK


if __name__ == "__main__":
    sys.exit(main())
