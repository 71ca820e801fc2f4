"""Requests of the command line to running members: to return their view, or to leave."""

from __future__ import annotations

import asyncio
from typing import Any

from crowpost.membership.errors import MembershipError
from crowpost.membership.framing import FRAME_TIMEOUT_S, read_frame, write_frame
from crowpost.membership.model import split_address
from crowpost.membership.wire import MessageKind, cluster_tag, decode_frame, encode_frame, pack, unpack

MAX_CONCURRENT_QUERIES = 64


async def query(address: str, kind: MessageKind, cluster: str, timeout_s: float = FRAME_TIMEOUT_S) -> Any:
    """Return a member's answer to a message of kind VIEW or LEAVE.

    Raise MembershipError if no valid answer arrives in time; its text is one line and contains the address.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                write_frame(writer, encode_frame(kind, cluster_tag(cluster), pack([cluster])))
                _, body = decode_frame(await read_frame(reader), None)
                return unpack(body)
            finally:
                writer.close()
    except TimeoutError as error:
        raise MembershipError(f"{address}: no answer within {timeout_s:g} s") from error
    except (OSError, EOFError) as error:
        raise MembershipError(f"{address}: {str(error) or 'closed without an answer'}") from error


async def query_views(addresses: dict[str, str], timeout_s: float) -> dict[str, dict[str, Any] | str]:
    """Return the views of many members by name; if a member does not answer, its value is the reason."""
    query_slots = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query_view(address: str) -> dict[str, Any] | str:
        async with query_slots:
            try:
                view: dict[str, Any] = await query(address, MessageKind.VIEW, "", timeout_s)
            except MembershipError as error:
                return str(error)
            return view

    answers = await asyncio.gather(*(query_view(address) for address in addresses.values()))
    return dict(zip(addresses, answers, strict=True))
