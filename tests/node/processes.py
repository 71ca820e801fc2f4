"""Node processes, started with the run command of deploy/balancer.toml as the platform does."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import sysconfig
import tomllib
import venv
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from tests.node.stubs import HOST, WAIT_TIMEOUT_S, StubDiscovery, StubServer, listing, row, settings

ROOT = Path(__file__).parents[2]


def deploy(directory: Path) -> Path:
    """Return a root directory as the build of deploy/balancer.toml leaves it.

    The editable install, with which the tests run, adds an import hook to each process that takes 0.7 MB.
    """
    root = directory / "root"
    venv.create(root / ".venv", symlinks=True)
    site_packages = sysconfig.get_path("purelib", vars={"base": str(root / ".venv")})
    # A directory that a .pth file adds is searched, and its own .pth files are not read.
    Path(site_packages, "requirements.pth").write_text(sysconfig.get_path("purelib"))
    (root / "crowpost").symlink_to(ROOT / "crowpost")
    return root


async def start_node(
    environment: dict[str, str],
    pass_fds: tuple[int, ...] = (),
    log: int = asyncio.subprocess.PIPE,
    root: Path = ROOT,
) -> asyncio.subprocess.Process:
    """Start a node; its log is a pipe, which has to be read, unless another descriptor is given."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        command,
        cwd=root,
        env={**os.environ, **environment},
        stderr=log,
        pass_fds=pass_fds,
    )


def kill(process: asyncio.subprocess.Process) -> None:
    """Kill the process if it has not ended."""
    if process.returncode is None:
        process.kill()


@contextlib.asynccontextmanager
async def running_process(process: asyncio.subprocess.Process) -> AsyncIterator[asyncio.subprocess.Process]:
    """Kill the process in the end if it runs then."""
    try:
        yield process
    finally:
        kill(process)


def node_configuration(*servers: StubServer, memory_mb: int = 192, sockets: int = 1024) -> dict[str, Any]:
    """Return the content of a configuration file, with these servers as the last known ones."""
    rows = [row(chr(ord("a") + index), server.address) for index, server in enumerate(servers)]
    return {
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": listing(1, *rows),
        "settings": settings(registryMode="pushed"),
    }


def node_environment(discovery: StubDiscovery, config: Path) -> dict[str, str]:
    """Return the environment variables of a node."""
    return {
        "NODE_NAME": "n0",
        "NODE_LISTEN": f"{HOST}:0",
        "NODE_DISCOVERY": discovery.address,
        "NODE_CONFIG": str(config),
    }


async def logged_address(process: asyncio.subprocess.Process, event: str) -> tuple[str, int]:
    """Return the address in the log line of the node that contains `{event} on HOST:PORT`."""
    assert process.stderr is not None
    line = ""
    while not (found := re.search(rf"{event} on ([\d.]+):(\d+)", line)):
        line = (await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)).decode()
        assert line, "the node ended"
    return found[1], int(found[2])
