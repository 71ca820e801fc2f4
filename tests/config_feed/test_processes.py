"""The feed in processes of its own: publisher, relays and nodes with traffic, killed, stopped, restarted."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from crowpost.cli.feed_status import collect_statuses, summarize
from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.documents import Document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.messages import Message, PublishAccepted, PublishRejected, PublishRequest
from crowpost.config_feed.publisher import Publisher
from crowpost.config_feed.request_reply import request_reply
from crowpost.config_feed.transport import FeedTransport
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.storage.disk import Disk
from crowpost.storage.operations import Append, Operation
from tests.config_feed.fleet import (
    CLUSTER,
    connect_timeout_patch,
    published_version,
    running_fleet,
    wait_until_applied,
)
from tests.node.stubs import (
    HOST,
    PATIENCE_S,
    Client,
    StubDiscovery,
    StubServer,
    listing,
    reply,
    row,
    run,
    tell,
)


def test_changes_under_traffic_cost_no_call_and_no_connection(tmp_path: Path) -> None:
    async def play() -> None:
        new = StubServer([reply("200 OK", b"new")])
        async with running_fleet(tmp_path, 2) as (world, started), StubDiscovery() as moved, new:
            clients = [await Client.connect(address) for _, address in started for _ in range(3)]
            processes = [process for process, _ in started]
            bodies: list[bytes] = []
            over = asyncio.Event()

            async def call(client: Client) -> None:
                while not over.is_set():
                    answer = await client.ask("look")
                    assert answer.status == 200
                    bodies.append(answer.body)
                    await asyncio.sleep(0.002)

            calling = [asyncio.create_task(call(client)) for client in clients]
            for number in range(1, 10):
                assert (
                    published_version(
                        await world.publish(connect_timeout_patch(100.0 + number), if_version=number - 1)
                    )
                    == number
                )
                answered = len(bodies) + len(clients)
                while len(bodies) < answered:  # calls end between any two changes
                    assert not any(task.done() for task in calling)
                    await asyncio.sleep(0.005)
            # Some may come as one, and the last of them must come.
            told = await wait_until_applied(processes, 9)
            assert not world.server.left.is_set(), "a connection to a server was closed"
            assert published_version(await world.publish({"discovery": moved.address}, "service/cart")) == 1
            told += await wait_until_applied(processes, 1, "service/cart")
            for _ in processes:
                tell(await moved.watch(), listing(2, row("b", new.address)))
            while any(task.done() for task in calling) or bodies[-1] != b"new":
                assert not any(task.done() for task in calling)
                await asyncio.sleep(0.01)
            refused = await world.publish({"settings": {"tickMs": 9.0}}, "node/n0", region="north")
            assert published_version(refused) == 1
            why = "settings.tickMs cannot change while the node runs"
            await processes[0].event("standing", scope="node/n0", refused=why)
            over.set()
            await asyncio.gather(*calling)
            assert not new.left.is_set(), "a connection to a server was closed"
            assert max(event["took_us"] for event in told) < 50_000  # what it takes is measured elsewhere
            found = await world.status(lambda f: f["followers"]["n0"]["refused"] == {"node/n0": why})
            assert found["followers"]["n1"]["refused"] == {} and not found["silent"] and not found["whole"]
            headers = found["heads"]
            assert (headers["all"]["in_force"], headers["all"]["meant"]) == (2, 2)
            assert (headers["node/n0"]["in_force"], headers["node/n0"]["meant"]) == (0, 1)
            answer = await clients[0].ask("look")
            assert answer.body == b"new", "the connection still stands"
            for client in clients:
                client.close()
            await asyncio.gather(*(process.terminate() for process in processes))

    run(play())


def test_a_publisher_killed_and_a_relay_stopped_and_killed_amid_changes(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_fleet(tmp_path, 2) as (world, started):
            processes = [process for process, _ in started]
            assert published_version(await world.publish(connect_timeout_patch(101.0))) == 1
            await wait_until_applied(processes, 1)
            await world.processes["p"].kill()
            with pytest.raises(FeedError):
                await world.publish(connect_timeout_patch(102.0))
            await world.start_server("p", [])
            answer = await world.publish(connect_timeout_patch(102.0), if_version=0)
            assert isinstance(answer, PublishRejected) and answer.why == "all is at version 1 and not at 0"
            assert published_version(await world.publish(connect_timeout_patch(102.0), if_version=1)) == 2
            await wait_until_applied(processes, 2)
            nearest = world.processes["r0"]
            nearest.send_signal(signal.SIGSTOP)
            assert published_version(await world.publish(connect_timeout_patch(103.0))) == 3
            await wait_until_applied(processes, 3)
            nearest.send_signal(signal.SIGCONT)
            await nearest.wait_for_event("whole", version=3)
            assert published_version(await world.publish(connect_timeout_patch(104.0))) == 4
            await nearest.kill()
            assert published_version(await world.publish({}, rollback=True)) == 5
            await wait_until_applied(processes, 5)
            found = await world.status(lambda f: f["heads"]["all"]["in_force"] == 2)
            assert list(found["silent"]) == [world.addresses["r0"]] and not found["whole"]
            assert found["heads"]["all"]["version"] == 5

    run(play())


def test_a_node_restarted_while_all_others_are_away_has_what_was_in_force(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_fleet(tmp_path, 1) as (world, started), StubDiscovery() as moved:
            process = started[0][0]
            assert published_version(await world.publish({"discovery": moved.address}, "region/north")) == 1
            await moved.watch()
            await process.wait_for_event("standing", scope="region/north", version=1)
            answer = await world.publish({**connect_timeout_patch(9.0), "seed": "2"}, "region/north")
            assert published_version(answer) == 2
            await process.wait_for_event("standing", scope="region/north", version=2)
            # Amid the next change: the publisher has it on disk, and nobody else was told.
            for name in ("r0", "r1"):
                world.processes[name].send_signal(signal.SIGSTOP)
            assert published_version(await world.publish(connect_timeout_patch(105.0), "region/north")) == 3
            await asyncio.gather(*(p.kill() for p in world.processes.values()))
            process, address = await world.start_node("n0")
            await process.wait_for_event("kept", scope="region/north", version=1)
            await moved.watch()
            client = await Client.connect(address)
            assert (await client.ask("look")).body == b"old"
            for name in ("p", "r0", "r1"):
                await world.start_server(name, [] if name == "p" else ["p"])
            await process.wait_for_event("in force", scope="region/north", version=3)
            assert (await client.ask("look")).status == 200
            client.close()
            config = tmp_path / "n0.json"
            config.write_text(json.dumps({**json.loads(config.read_text()), "discovery": moved.address}))
            process.send_signal(signal.SIGHUP)
            await moved.watch()
            await process.terminate()

    run(play())


def test_a_publisher_that_lost_its_directory_learns_from_its_relays_and_begins_an_epoch(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        async with running_fleet(tmp_path, 1) as (world, started):
            for number in range(1, 4):
                assert published_version(await world.publish(connect_timeout_patch(100.0 + number))) == number
            await wait_until_applied([started[0][0]], 3)
            await world.processes["p"].kill()
            (tmp_path / "ledger").rename(tmp_path / "lost")
            publisher = await world.start_server("p", ["r0", "r1"])
            await publisher.wait_for_event("set_back", scope="all", version=3, era=2)
            answer = await world.publish(connect_timeout_patch(200.0), if_version=3)
            assert isinstance(answer, PublishAccepted) and (answer.header.epoch, answer.header.version) == (
                2,
                4,
            )
            await wait_until_applied([started[0][0]], 4)
            await publisher.kill()
            publisher = await world.start_server("p", ["r0", "r1"])
            assert (
                published_version(await world.publish({}, rollback=True)) == 5
            ), "both are in the new directory"

    run(play())


def test_a_publisher_whose_disk_is_full_takes_nothing_more_says_so_and_goes_on_telling(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def config(name: str, role: str, **more: Any) -> FeedConfig:
        return FeedConfig(
            CLUSTER, name, role, "north", home_region="north", publishers={"north": "p"}, **more
        )

    async def play() -> None:
        publisher = Publisher(
            config("p", "publisher", listen=f"{HOST}:0", directory=tmp_path / "ledger"),
            lambda scope, body: None,
        )
        at = await publisher.start()

        async def publish(body: bytes) -> Message:
            return await request_reply(
                at, PublishRequest(1, "all", body, "ann", "why not"), CLUSTER, PATIENCE_S
            )

        assert published_version(await publish(b"1")) == 1
        perform = Disk.perform

        def full(disk: Disk, operation: Operation) -> int:
            if isinstance(operation, Append):
                raise OSError(errno.ENOSPC, "")
            return perform(disk, operation)

        monkeypatch.setattr(Disk, "perform", full)
        for _ in range(2):
            answer = await publish(b"2")
            assert isinstance(answer, PublishRejected) and "writing has stopped" in answer.why
            assert "the disk is full" in answer.why
        came: asyncio.Queue[Document] = asyncio.Queue()
        watcher = FeedTransport(config("w", "watch", upstreams=(UpstreamServer(at),)), came.put_nowait)
        watcher.start()
        assert (await asyncio.wait_for(came.get(), PATIENCE_S)).body == b"1"
        found = summarize(await collect_statuses([at], CLUSTER, PATIENCE_S))
        assert found["stopped"] == {"p": 1} and not found["whole"] and found["heads"]["all"]["version"] == 1
        await watcher.close()
        await publisher.close()
        monkeypatch.setattr(Disk, "perform", perform)
        publisher = Publisher(
            config("p", "publisher", listen=f"{HOST}:0", directory=tmp_path / "ledger"),
            lambda scope, body: None,
        )
        at = await publisher.start()
        assert published_version(await publish(b"3")) == 2
        await publisher.close()

    run(play())
