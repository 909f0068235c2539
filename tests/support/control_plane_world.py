"""Documents, and controllers that share an in-memory log, for the tests of the control plane."""

from __future__ import annotations

import json
from typing import Any

from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

from ochrespan.common.addresses import Address
from ochrespan.control_plane.api.handlers import serve_api
from ochrespan.control_plane.control_state import ControlState
from ochrespan.control_plane.controller import ControllerCollaborators, ControllerNode, ControllerSettings
from ochrespan.control_plane.quota.allocation import QuotaBounds
from tests.support.control_plane_fakes import InMemoryGroups, SharedLog

HEARTBEAT_S = 1.2
QUOTA_BOUNDS = QuotaBounds(window_s=8.0, overshoot=0.1, slack=20.0)


def route(name: str, service: str = "judges", **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": "a.example",
        "path_prefix": f"/{name}/",
        "route_type": "streaming",
        "timeout_ms": 8000,
        "backend": service,
        "max_retries": 2,
        "priority": 1,
        **fields,
    }


def service(name: str = "judges", **fields: Any) -> dict[str, Any]:
    return {"name": name, "health_check": "/healthz", "max_connections": 96, **fields}


def tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "api_keys": list(keys), **fields}


def configuration(generation: int, *routes: dict[str, Any], **fields: Any) -> dict[str, Any]:
    return {
        "generation": generation,
        "routes": list(routes) or [route("r1")],
        "services": [service()],
        "limits": {"max_body_bytes": 4194304},
        **fields,
    }


def instance(sequence: int, state: str = "ready", **fields: Any) -> dict[str, Any]:
    return {
        "backend": "judges",
        "address": "10.0.0.9:8080",
        "zone": "hall-a",
        "generation": "v1",
        "capacity": 8,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
        **fields,
    }


class World:
    """Controllers that share one log; the first leads every shard."""

    def __init__(self, members: int = 1) -> None:
        self.log = SharedLog()
        self.controllers = [Controller(self.log, f"core-{number}") for number in range(members)]
        self.controllers[0].groups.lead()

    def addresses(self) -> list[Address]:
        return [controller.groups.address for controller in self.controllers]

    def close(self) -> None:
        for controller in self.controllers:
            controller.close()


class Controller:
    """A controller with its HTTP interface on loopback."""

    def __init__(self, log: SharedLog, name: str) -> None:
        self.state = ControlState()
        self.groups = InMemoryGroups(self.state.machines, log)
        settings = ControllerSettings(name, f"zone-of-{name}", self.groups.address, HEARTBEAT_S, QUOTA_BOUNDS)
        collaborators = ControllerCollaborators(self.groups, self.state, self.groups.call_server, seeds=list)
        self.node = ControllerNode(settings, collaborators)
        self.groups.on_applied.append(self.node.applied)
        self.groups.on_restored.append(self.node.restored)
        self.groups.on_leadership_changed.append(self.node.leadership_changed)
        self.node.start()
        self.http: WSGIServer = serve_api(("127.0.0.1", 0), self.node.api)

    def call(self, method: str, path: str, document: Any = None, **headers: str) -> tuple[int, Any]:
        """Sends a request; returns the status and the decoded body. `document` may be a body as bytes."""
        body = document if isinstance(document, bytes) else b"" if document is None else json.dumps(document).encode()
        client = HTTPClient("127.0.0.1", self.http.server_port, connection_timeout=5, network_timeout=5)
        try:
            names = {name.replace("_", "-"): value for name, value in headers.items()}
            response = client.request(method, path, body=body, headers=names)
            return response.status_code, json.loads(response.read() or b"null")
        finally:
            client.close()

    def put_config(self, document: Any, version: int) -> tuple[int, Any]:
        return self.call("PUT", "/api/config", document, If_Match=str(version))

    def patch_config(self, document: Any, version: int) -> tuple[int, Any]:
        return self.call("PATCH", "/api/config", document, If_Match=str(version))

    def put_instance(self, instance_id: str, document: Any) -> tuple[int, Any]:
        return self.call("PUT", f"/api/instances/{instance_id}", document)

    def close(self) -> None:
        self.node.stop()
        self.http.stop()
        self.groups.stop()
