"""Real processes of the feed: publisher, relays and nodes under traffic, killed, stopped and restarted."""

from __future__ import annotations

import asyncio
import errno
import json
import shutil
import signal
from pathlib import Path
from typing import Any

import pytest

from crowpost.cli.feed_status import collect_statuses, summarize
from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.documents import Document, DocumentHeader
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
    WAIT_TIMEOUT_S,
    Client,
    StubDiscovery,
    StubServer,
    listing,
    reply,
    row,
    run,
    send_line,
)


def test_configuration_changes_under_traffic_lose_no_request_and_no_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        new_server = StubServer([reply("200 OK", b"new")])
        async with (
            running_fleet(tmp_path, 2) as (fleet, nodes),
            StubDiscovery() as second_discovery,
            new_server,
        ):
            clients = [await Client.connect(address) for _, address in nodes for _ in range(3)]
            processes = [process for process, _ in nodes]
            bodies: list[bytes] = []
            finished = asyncio.Event()

            async def send_requests(client: Client) -> None:
                while not finished.is_set():
                    answer = await client.ask("look")
                    assert answer.status == 200
                    bodies.append(answer.body)
                    await asyncio.sleep(0.002)

            request_tasks = [asyncio.create_task(send_requests(client)) for client in clients]
            for number in range(1, 10):
                assert (
                    published_version(
                        await fleet.publish(connect_timeout_patch(100.0 + number), if_version=number - 1)
                    )
                    == number
                )
                expected_count = len(bodies) + len(clients)
                while len(bodies) < expected_count:  # wait until requests complete between two changes
                    assert not any(task.done() for task in request_tasks)
                    await asyncio.sleep(0.005)
            # Successive versions may be coalesced, but the last one must be applied.
            events = await wait_until_applied(processes, 9)
            assert not fleet.server.connection_ended.is_set(), "a connection to a server was closed"
            assert (
                published_version(
                    await fleet.publish({"discovery": second_discovery.address}, "service/cart")
                )
                == 1
            )
            events += await wait_until_applied(processes, 1, "service/cart")
            for _ in processes:
                send_line(await second_discovery.watch(), listing(2, row("b", new_server.address)))
            while any(task.done() for task in request_tasks) or bodies[-1] != b"new":
                assert not any(task.done() for task in request_tasks)
                await asyncio.sleep(0.01)
            publish_answer = await fleet.publish({"settings": {"tickMs": 9.0}}, "node/n0", region="north")
            assert published_version(publish_answer) == 1
            reason = "settings.tickMs cannot change while the node runs"
            await processes[0].wait_for_event("standing", scope="node/n0", refused=reason)
            finished.set()
            await asyncio.gather(*request_tasks)
            assert not new_server.connection_ended.is_set(), "a connection to a server was closed"
            # A coarse bound; the duration is measured elsewhere.
            assert max(event["took_us"] for event in events) < 50_000
            status = await fleet.status(
                lambda status: status["followers"]["n0"]["refused"] == {"node/n0": reason}
            )
            assert status["followers"]["n1"]["refused"] == {} and not status["silent"] and not status["whole"]
            headers = status["heads"]
            assert (headers["all"]["in_force"], headers["all"]["meant"]) == (2, 2)
            assert (headers["node/n0"]["in_force"], headers["node/n0"]["meant"]) == (0, 1)
            answer = await clients[0].ask("look")
            assert answer.body == b"new", "the connection is still open"
            for client in clients:
                client.close()
            await asyncio.gather(*(process.terminate() for process in processes))

    run(scenario())


def test_changes_are_applied_after_a_publisher_and_a_relay_are_killed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_fleet(tmp_path, 2) as (fleet, nodes):
            processes = [process for process, _ in nodes]
            assert published_version(await fleet.publish(connect_timeout_patch(101.0))) == 1
            await wait_until_applied(processes, 1)
            await fleet.processes["p"].kill()
            with pytest.raises(FeedError):
                await fleet.publish(connect_timeout_patch(102.0))
            await fleet.start_server("p", [])
            answer = await fleet.publish(connect_timeout_patch(102.0), if_version=0)
            assert isinstance(answer, PublishRejected) and answer.why == "all is at version 1 and not at 0"
            assert published_version(await fleet.publish(connect_timeout_patch(102.0), if_version=1)) == 2
            await wait_until_applied(processes, 2)
            nearest = fleet.processes["r0"]
            nearest.send_signal(signal.SIGSTOP)
            assert published_version(await fleet.publish(connect_timeout_patch(103.0))) == 3
            await wait_until_applied(processes, 3)
            nearest.send_signal(signal.SIGCONT)
            await nearest.wait_for_event("whole", version=3)
            assert published_version(await fleet.publish(connect_timeout_patch(104.0))) == 4
            await nearest.kill()
            assert published_version(await fleet.publish({}, rollback=True)) == 5
            await wait_until_applied(processes, 5)
            status = await fleet.status(lambda status: status["heads"]["all"]["in_force"] == 2)
            assert list(status["silent"]) == [fleet.addresses["r0"]] and not status["whole"]
            assert status["heads"]["all"]["version"] == 5

    run(scenario())


def test_node_restarted_without_any_server_applies_its_cached_documents(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_fleet(tmp_path, 1) as (fleet, nodes), StubDiscovery() as second_discovery:
            process = nodes[0][0]
            assert (
                published_version(
                    await fleet.publish({"discovery": second_discovery.address}, "region/north")
                )
                == 1
            )
            await second_discovery.watch()
            await process.wait_for_event("standing", scope="region/north", version=1)
            answer = await fleet.publish({**connect_timeout_patch(9.0), "seed": "2"}, "region/north")
            assert published_version(answer) == 2
            await process.wait_for_event("standing", scope="region/north", version=2)
            # The publisher has the next version on disk, but the relays have not received it.
            for name in ("r0", "r1"):
                fleet.processes[name].send_signal(signal.SIGSTOP)
            assert published_version(await fleet.publish(connect_timeout_patch(105.0), "region/north")) == 3
            await asyncio.gather(*(running.kill() for running in fleet.processes.values()))
            process, address = await fleet.start_node("n0")
            await process.wait_for_event("kept", scope="region/north", version=1)
            await second_discovery.watch()
            client = await Client.connect(address)
            assert (await client.ask("look")).body == b"old"
            for name in ("p", "r0", "r1"):
                await fleet.start_server(name, [] if name == "p" else ["p"])
            await process.wait_for_event("in force", scope="region/north", version=3)
            assert (await client.ask("look")).status == 200
            client.close()
            config = tmp_path / "n0.json"
            config.write_text(
                json.dumps({**json.loads(config.read_text()), "discovery": second_discovery.address})
            )
            process.send_signal(signal.SIGHUP)
            await second_discovery.watch()
            await process.terminate()

    run(scenario())


def test_publisher_that_lost_its_directory_adopts_documents_of_relays_and_begins_an_epoch(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_fleet(tmp_path, 1) as (fleet, nodes):
            for number in range(1, 4):
                assert published_version(await fleet.publish(connect_timeout_patch(100.0 + number))) == number
            await wait_until_applied([nodes[0][0]], 3)
            await fleet.processes["p"].kill()
            (tmp_path / "store").rename(tmp_path / "lost")
            publisher = await fleet.start_server("p", ["r0", "r1"])
            await publisher.wait_for_event("set_back", scope="all", version=3, era=2)
            answer = await fleet.publish(connect_timeout_patch(200.0), if_version=3)
            assert isinstance(answer, PublishAccepted) and (answer.header.epoch, answer.header.version) == (
                2,
                4,
            )
            await wait_until_applied([nodes[0][0]], 4)
            await publisher.kill()
            publisher = await fleet.start_server("p", ["r0", "r1"])
            assert (
                published_version(await fleet.publish({}, rollback=True)) == 5
            ), "the new directory has both documents"

    run(scenario())


def test_each_restore_of_one_backup_begins_an_epoch_that_is_newer_than_all_before(tmp_path: Path) -> None:
    """Guards against two bodies with one version, and against accepted documents that no node applies."""
    options: dict[str, Any] = {"home_region": "north", "publishers": {"north": "p"}, "listen": f"{HOST}:0"}

    async def publish_once(directory: Path, body: bytes, restored: bool) -> DocumentHeader:
        config = FeedConfig(CLUSTER, "p", "publisher", "north", directory=directory, **options)
        publisher = Publisher(config, lambda scope, body: None, restored=restored)
        address = await publisher.start()
        request = PublishRequest(1, "all", body, "ann", "why not")
        answer = await request_reply(address, request, CLUSTER, WAIT_TIMEOUT_S)
        await publisher.close()
        assert isinstance(answer, PublishAccepted)
        return answer.header

    async def scenario() -> None:
        before = await publish_once(tmp_path / "backup", b"0", restored=False)
        headers = [before]
        for number in range(1, 4):
            copy = tmp_path / f"restored-{number}"
            shutil.copytree(tmp_path / "backup", copy)
            headers.append(await publish_once(copy, b"%d" % number, restored=True))
        epochs = [header.epoch for header in headers]
        assert epochs == sorted(set(epochs))

    run(scenario())


def test_publisher_with_a_full_disk_rejects_requests_and_still_serves_documents(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def config(name: str, role: str, **options: Any) -> FeedConfig:
        return FeedConfig(
            CLUSTER, name, role, "north", home_region="north", publishers={"north": "p"}, **options
        )

    async def scenario() -> None:
        publisher = Publisher(
            config("p", "publisher", listen=f"{HOST}:0", directory=tmp_path / "store"),
            lambda scope, body: None,
        )
        address = await publisher.start()

        async def publish(body: bytes) -> Message:
            return await request_reply(
                address, PublishRequest(1, "all", body, "ann", "why not"), CLUSTER, WAIT_TIMEOUT_S
            )

        assert published_version(await publish(b"1")) == 1
        perform = Disk.perform

        def fail_append(disk: Disk, operation: Operation) -> int:
            if isinstance(operation, Append):
                raise OSError(errno.ENOSPC, "")
            return perform(disk, operation)

        monkeypatch.setattr(Disk, "perform", fail_append)
        for _ in range(2):
            answer = await publish(b"2")
            assert isinstance(answer, PublishRejected) and "writing has stopped" in answer.why
            assert "the disk is full" in answer.why
        received: asyncio.Queue[Document] = asyncio.Queue()
        follower = FeedTransport(
            config("w", "watch", upstreams=(UpstreamServer(address),)), received.put_nowait
        )
        follower.start()
        assert (await asyncio.wait_for(received.get(), WAIT_TIMEOUT_S)).body == b"1"
        status = summarize(await collect_statuses([address], CLUSTER, WAIT_TIMEOUT_S))
        assert (
            status["stopped"] == {"p": 1} and not status["whole"] and status["heads"]["all"]["version"] == 1
        )
        await follower.close()
        await publisher.close()
        monkeypatch.setattr(Disk, "perform", perform)
        publisher = Publisher(
            config("p", "publisher", listen=f"{HOST}:0", directory=tmp_path / "store"),
            lambda scope, body: None,
        )
        address = await publisher.start()
        assert published_version(await publish(b"3")) == 2
        await publisher.close()

    run(scenario())
