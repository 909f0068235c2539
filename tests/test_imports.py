"""What a program loads: a router's start counts, so it leaves the controllers' parts alone."""

import subprocess
import sys

CONTROLLERS_PARTS = (
    "ochrespan.control_plane.replica_host", "ochrespan.coordination.messages", "ochrespan.coordination.replica",
    "ochrespan.storage",
)  # fmt: skip
FRONTS_PARTS = ("ochrespan.policy.front", "ochrespan.interface", "aiohttp")


def test_a_router_loads_neither_the_controllers_parts_nor_those_of_the_front_in_service():
    code = "import sys, ochrespan.programs.router_process; print(*sys.modules, sep='\\n')"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert "ochrespan.data_plane.scheduler" in loaded
    assert not [name for name in loaded if name.startswith((*CONTROLLERS_PARTS, *FRONTS_PARTS))]
