"""Short transcripts of the simulator's protocol, played through `ochrespan.simhost`."""

import os
import subprocess
import sys

INFO = (
    "InitSeed=11 Balancers=2 Classes.count=2 Classes.0.Name=read Classes.0.DeadlineNs=2000000000 "
    "Classes.0.ObjectiveNs=300000000 Classes.0.Effect=free Classes.1.Name=put Classes.1.Effect=single_shot "
    "Classes.1.DeadlineNs=2000000000 Classes.1.ObjectiveNs=300000000 Contracts.count=1 Contracts.0.Name=p "
    "Contracts.0.Weight=1.0 Limits.MaxAttempts=2 StepNs=1000000 Some.NewThing=x Extra.MostUnits=8"
)
LIST = [
    "BACKENDS_CHANGED Scope=restored Stamp=1 NodesList=2",
    "M Shelf=10.0.0.1:1 Cluster=0 Mode=Running Campus=a Nominal=1 Odd=1",
    "M Shelf=10.0.0.2:1 Cluster=1 Mode=Running Campus=a Nominal=1",
]


def arrival(name, shard=0, cls="read"):
    return (
        f"ARRIVAL RequestId={name} Chunk=x QuotaUnits=2 Shard={shard} Category={cls} Tier=p "
        f"LeftNs=2000000000 NHosts=1 Options=0 Disk=d Novel=7"
    )


def start(instance):
    return [f"CONTEXT I={instance}", f"PROVISION {INFO}", *LIST]


def batch(frame, at_ms, *lines):
    return [f"MARK NowNs={5_000_000_000 + at_ms * 1_000_000} frame={frame}", *lines, "EOB"]


def play(*batches, seed="0"):
    text = "\n".join(line for b in batches for line in b) + "\n"
    env = dict(os.environ, PYTHONHASHSEED=seed)
    done = subprocess.run(
        [sys.executable, "-m", "ochrespan.simhost"],
        input=text,
        capture_output=True,
        text=True,
        env=env,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0
    return done.stdout.splitlines(), done.stderr.splitlines()


def of(lines, instance):
    """The lines of one instance."""
    selected_lines, selected = [], False
    for line in lines:
        if line.startswith("FROM "):
            selected = line == f"FROM I={instance}"
        elif selected and not line.startswith("FINISHED"):
            selected_lines.append(line)
    return selected_lines


def reply(name, node="10.0.0.1:1", reason="delivered", closed=1, leg=0):
    return f"REPLY RequestId={name} NoMore={closed} Leg={leg} Reason={reason} WaitTimeNs=20000000 Shelf={node}"


def test_an_empty_batch():
    out, err = play(batch(3, 0))
    assert out == ["FINISHED frame=3"] and not err


def test_a_request_goes_to_the_node_of_its_shard():
    out, err = play(batch(1, 0, *start("h_1")), batch(2, 5, "CONTEXT I=h_1", arrival("r1", 1)))
    assert any(line.startswith("ISSUE RequestId=r1 Shelf=10.0.0.2:1 WithinNs=") for line in out)
    assert out[-1] == "FINISHED frame=2" and not err


def test_malformed_lines_are_reported_and_the_rest_is_handled():
    out, err = play(
        batch(1, 0, *start("h_1")),
        batch(
            2,
            5,
            "CONTEXT I=h_1",
            "ARRIVAL RequestId=r0 LeftNs=soon",
            "ARRIVAL nonsense",
            "REPLY Leg=0",
            "WHATEVER A=1",
            "BACKENDS_CHANGED Scope=odd",
            arrival("r1"),
        ),
    )
    assert len(err) == 4 and all("malformed" in line for line in err)
    assert "soon" in err[0]
    assert any(line.startswith("ISSUE RequestId=r1") for line in out)


def test_stopped_and_unknown_instances_get_no_events_and_take_no_action():
    out, _ = play(
        batch(1, 0, *start("h_1")),
        batch(2, 1, "CONTEXT I=h_1", arrival("r1"), "KILL"),
        batch(3, 2, "CONTEXT I=h_1", arrival("r2"), "CONTEXT I=h_9", arrival("r3")),
    )
    assert out[-2:] == ["FINISHED frame=2", "FINISHED frame=3"]


def test_kill_and_provision_in_one_batch_start_with_an_empty_state():
    out, _ = play(
        batch(1, 0, *start("h_1")),
        batch(2, 1, "CONTEXT I=h_1", arrival("r1")),
        batch(3, 2, "CONTEXT I=h_1", arrival("r2"), "KILL", *start("h_1")[1:], arrival("r3")),
        batch(4, 9, "CONTEXT I=h_1", reply("r1")),
        batch(5, 3000, "CONTEXT I=h_1", "DUE Nonce=1"),
    )
    text = "\n".join(out)
    assert "RequestId=r3" in text and "RequestId=r2" not in text
    assert "REJECT RequestId=r1" not in text
    assert "RequestId=r3" in out[-2] or "RequestId=r3" in text.split("FINISHED frame=4")[1]


def script(instances, seed="0"):
    batches = [batch(1, 0, *[line for i in instances for line in start(i)])]
    for step in range(40):
        lines = []
        for i in instances:
            lines += [f"CONTEXT I={i}", arrival(f"r{step}-{i}", step % 2), "DUE Nonce=1"]
            if step > 3:
                ended = "app_error" if step % 5 == 0 else "delivered"
                node = f"10.0.0.{1 + (step - 4) % 2}:1"
                lines.append(reply(f"r{step - 4}-{i}", node, ended, int(ended == "delivered")))
        batches.append(batch(step + 2, 10 * step, *lines))
    return play(*batches, seed=seed)[0]


def test_instances_act_the_same_in_one_process_and_apart():
    together = script(["h_1", "h_2"])
    for instance in ("h_1", "h_2"):
        assert of(together, instance) == of(script([instance]), instance)
    assert sum(line.startswith("ISSUE") for line in together) > 80


def test_the_hash_seed_changes_nothing():
    assert script(["h_1", "h_2"], "1") == script(["h_1", "h_2"], "2")


def test_an_unknown_outcome_counts_as_may_have_run():
    out, _ = play(
        batch(1, 0, *start("h_1")),
        batch(2, 1, "CONTEXT I=h_1", arrival("r1", cls="put")),
        batch(3, 9, "CONTEXT I=h_1", reply("r1", reason="vanished", closed=0)),
    )
    assert "FINISH_ERROR RequestId=r1" in out
    assert sum(line.startswith("ISSUE") for line in out) == 1


def test_unparsable_numbers_do_not_lose_the_event():
    from ochrespan.interface import Status
    from ochrespan.simhost import read_outcome, read_request

    got = {"RequestId": "r", "Reason": "delivered", "UsePct": "lots", "Delta": "-5"}
    outcome = read_outcome(got | {"Report": "depth:nan,tps:3"})
    assert outcome.status is Status.OK and outcome.report == {"qps": 3}
    assert (outcome.used_fraction, outcome.units_elsewhere) == (None, 0.0)
    assert read_request({"RequestId": "r", "LeftNs": "1000", "NHosts": "inf"}).fronts == 0


def test_the_list_is_requested_only_where_it_is_not_pushed():
    later = [batch(n, 1000 * n, "CONTEXT I=h_1", "DUE Nonce=1") for n in range(2, 6)]
    for setting, calls in (
        ("Discovery=pushed", False),
        ("Discovery=on_request Obligations.AskWithinNs=1000000000", True),
    ):
        out, _ = play(batch(1, 0, "CONTEXT I=h_1", f"PROVISION {INFO} {setting}", *LIST), *later)
        assert any(line.startswith("WATCH") for line in out) is calls
