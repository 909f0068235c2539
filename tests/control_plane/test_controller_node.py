"""The periodic tasks of a controller."""

from tests.support.control_plane_world import World
from tests.support.replica_hosts import until


def test_periodic_work_that_fails_is_named_in_the_log(caplog):
    def run() -> None:
        raise ValueError("unexpected")

    world = World()
    node = world.controllers[0].node
    node.stop()
    node._instance_owner.run = run
    node.start()
    until(lambda: "controller task failed" in caplog.text, "log line")
    world.close()
    (message,) = [message for message in caplog.messages if message.startswith("controller task failed")]
    assert "run error=ValueError('unexpected')" in message
