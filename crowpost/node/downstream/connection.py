"""One client connection: exactly one response for each request, in the order of the requests."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, cast

from crowpost.node.byte_budget import MIN_BUFFER_BYTES
from crowpost.node.downstream import pipeline
from crowpost.node.downstream.connection_status import ConnectionStatus
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.linger import LingeringClose
from crowpost.node.downstream.sockets import reset_on_close, unread_s
from crowpost.node.http.body import Upload
from crowpost.node.http.message import EXPECT, TRANSFER_ENCODING, Message, MessageError
from crowpost.node.http.parser import MessageParser
from crowpost.node.reading import ConnectionReader

if TYPE_CHECKING:
    from crowpost.node.downstream.interfaces import ConnectionListener

log = logging.getLogger(__name__)

OVERLOAD_RETRY_AFTER_S = 0.5
OVERLOAD_RETRY_AFTER = b"Retry-After: %.3f\r\n" % OVERLOAD_RETRY_AFTER_S


class ClientConnection(ConnectionStatus):
    """A client connection, which writes responses in the order of the requests."""

    listener: ConnectionListener

    def __init__(self, listener: ConnectionListener) -> None:
        super().__init__(listener)
        self._parser = MessageParser(self, requests=True)
        # Whether the client waits for 100 Continue.
        self._continue_pending = False
        self._lingering_close: LingeringClose | None = None
        self._routing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        # Unsent bytes pause the output at once, so that they are never more than was reserved.
        self._transport.set_write_buffer_limits(0)
        self._reader = ConnectionReader(self._transport, self.listener.reads)
        now = self.listener.now()
        self.opened_at = now
        self.state_since = now
        self._received_at = now
        self.listener.opened(self)

    def time_out(self) -> None:
        """End a connection that has timed out: respond 408 to an incomplete request, otherwise close."""
        # Peers that send nothing are not logged: there may be hundreds of them a second.
        if self._parser.in_message or self._write_paused:
            now = self.listener.now()
            log.info(
                "client timed out %.1f s after connecting, last bytes %.1f s ago, %d bytes of a body%s",
                now - self.opened_at,
                now - self._received_at,
                self._parser.body_size,
                ", does not read" if self._write_paused else "",
            )
        awaits_body = self._upload is not None or (self._parser.in_message and not self._exchanges)
        if awaits_body and not self._discarding:
            self._reject_input(408)
        else:
            self.abort()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  asyncio's signature
        """Return the buffer of the next read."""
        return self.listener.reads.buffer[: self._max_read_bytes()]

    def _max_read_bytes(self) -> int:
        limit = MIN_BUFFER_BYTES if self._upload is None else self._upload.max_read_bytes
        return limit if self._reader is None else self._reader.max_read_bytes(limit)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read."""
        filled = nbytes == self._max_read_bytes()
        upload = self._upload
        if upload is not None:
            upload.record_read(nbytes)
        self.receive(self.listener.reads.buffer[:nbytes])
        self._reserve_input()
        if self._reader is not None:
            self._reader.finish_read(nbytes, self._parser.parts, filled=filled)

    def _reserve_input(self) -> None:
        """Reserve the bytes of requests that are not handled yet; reject the input if there is no room."""
        size = self._parser.held_bytes
        for exchange in self._exchanges:
            if exchange.message is not None:
                size += exchange.message.size
        if size == self._input.size or self._input.try_resize(size) or self._discarding or self._malformed:
            return
        message = self._parser.message
        if message is None:
            # Complete requests that wait are served, and nothing more is read.
            self._input.add(size - self._input.size)
            self._reject_further_requests()
            return
        self.listener.count_rejection()
        self._reject_input(503, OVERLOAD_RETRY_AFTER, self.listener.class_index_of(message))

    def receive(self, data: bytes | memoryview) -> None:
        """Parse received bytes."""
        self._previous_read_at = self._read_at
        self._received_at = self._read_at = self.listener.now()
        if self._discarding or self._malformed:
            return
        if not self._parser.in_message:
            self.state_since = self._received_at
        try:
            self._parser.feed(data)
        except MessageError as error:
            self.listener.refusals.count(f"client sent a malformed request: {error}")
            self._reject_input(error.status)
        except Exception:
            log.exception("fault while a request was read")
            self._reject_input(500)

    def _reject_input(self, status: int, extra: bytes = b"", class_index: int | None = None) -> None:
        """Respond with an error to the request that is being received, then close.

        A request whose body is streamed was accepted when its body began, so its own exchange fails: a second
        response would wait behind that exchange, which would wait for the rest of the body.

        extra: complete header lines; class_index: the class of a request that was not accepted, if known.
        """
        if self._discarding or self._malformed:
            return
        self._malformed = True
        self._parser.drop_body()
        uploading = self._uploading_exchange()
        self._upload = None
        if uploading is not None:
            uploading.fail(status)
            return
        exchange = Exchange(self, True)
        exchange.class_index = class_index
        self._exchanges.append(exchange)
        exchange.respond(status, extra=extra)

    def _uploading_exchange(self) -> Exchange | None:
        """Return the exchange of the request whose streamed body is being received; None if there is none."""
        if self._upload is None:
            return None
        return next((exchange for exchange in self._exchanges if exchange.upload is self._upload), None)

    def on_head(self, message: Message) -> None:
        """Check the head of a request whose client waits for 100 Continue before it sends the body."""
        self._head_complete_at = self.listener.now()
        if EXPECT not in message.headers or message.version == "1.0" or self._discarding:
            return
        try:
            _check_expectation(message)
            self.listener.check(message)
        except MessageError as error:
            self._reject_input(error.status)
            return
        self._continue_pending = bool(message.content_length) or TRANSFER_ENCODING in message.headers
        self._send_continue()

    def _send_continue(self) -> None:
        """Send 100 Continue once all earlier requests of the connection have their responses."""
        if self._continue_pending and not self._exchanges and self._transport is not None:
            self._continue_pending = False
            if self._parser.in_body:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message(self, message: Message) -> None:
        """Accept a complete request."""
        self._continue_pending = False
        self._accept_request(message)

    def on_stream_start(self, message: Message) -> None:
        """Accept a request whose body is streamed."""
        if self._discarding or self._malformed:
            return
        upload = Upload(
            message.body,
            message.content_length,
            self._set_upload_reading,
            reading_since=self.reading_since,
            now=self.listener.now,
        )
        self._upload = upload
        message.upload = upload
        message.body = b""
        self._accept_request(message)

    def on_stream_data(self, data: bytes) -> None:
        """Forward a part of a streamed body."""
        if self._upload is not None:
            self._upload.feed(data)

    def on_stream_end(self, message: Message) -> None:  # noqa: ARG002  MessageReceiver's signature
        """Complete a streamed body."""
        upload = self._upload
        self._upload = None
        if upload is not None:
            self._set_upload_reading(True)
            upload.finish()

    def _set_upload_reading(self, reading: bool) -> None:
        self._upload_paused = not reading
        self._received_at = self.listener.now()
        self._update_reading()

    def _accept_request(self, message: Message) -> None:
        if self._discarding or self._malformed:
            return
        if self._exchanges and (
            self._exchanges[-1].close_after or pipeline.exceeds_limits(self._exchanges, message)
        ):
            self._reject_further_requests()
            return
        self.had_request = True
        exchange = Exchange(self, not message.keep_alive, message.version)
        exchange.upload = message.upload
        exchange.message = message
        exchange.arrived_at -= self._waited_s()
        self._exchanges.append(exchange)
        self._route()

    def _waited_s(self) -> float:
        """Return how long the bytes of the last read had waited, in seconds."""
        if self._transport is None:
            return 0.0
        waited_s = unread_s(self._transport)
        # On a connection that was read before, no bytes can have waited since an earlier read.
        return min(waited_s, self._read_at - self._previous_read_at)

    def _reject_further_requests(self) -> None:
        """Close after the response to the last accepted request, and discard all further input.

        The client sends the requests that follow again, as no response can follow one that closes the
        connection.  Further input is still read, since only reading shows that the client has disconnected.
        """
        self._exchanges[-1].close_after = True
        self._malformed = True
        self._upload = None
        self._upload_paused = False
        self._parser.stop()
        self._update_reading()

    def _route(self) -> None:
        """Start handling the first waiting requests, as long as the client reads its responses."""
        if self._routing:
            return  # re-entered from a response that was complete immediately
        self._routing = True
        while not self._write_paused and (exchange := pipeline.next_waiting(self._exchanges)) is not None:
            message = exchange.message
            exchange.message = None
            assert message is not None
            # The exchange reserves the bytes of this message from now on.
            self._input.add(-min(self._input.size, message.size))
            try:
                self.listener.route(message, exchange)
            except MessageError as error:
                # A client may send thousands of invalid requests at once: close after the first response.
                self.listener.refusals.count(f"client sent a request that is not served: {error}")
                exchange.close_after = True
                exchange.respond(error.status)
            except Exception:
                # An exception must affect only its own request, which still gets a response.
                log.exception("fault in a request")
                exchange.respond(500)
            self._reserve_input()
        self._routing = False

    def flush(self) -> None:
        """Write responses in the order of the requests, up to and including the first incomplete one."""
        transport = self._transport
        while self._exchanges and transport is not None:
            exchange = self._exchanges[0]
            for data in exchange.output:
                transport.write(data)
                self.state_since = self.listener.now()
            exchange.output.clear()
            if not exchange.response_complete:
                exchange.update_flow()
                break
            del self._exchanges[0]
            self._unsent.append(exchange.response_buffer)
            if exchange.close_after:
                self._finish()
                return
        self._release_sent()
        self._send_continue()
        self._update_reading()
        self._route()

    def _release_sent(self) -> None:
        """Release the bytes reserved for complete responses once the kernel has all of them."""
        if self._transport is None or not self._write_paused:
            for reservation in self._unsent:
                reservation.release()
            self._unsent.clear()

    def _finish(self) -> None:
        """Shut down the write side after the last response, and close once the client could read it."""
        assert self._transport is not None
        self._discarding = True
        self._parser.stop()
        self._notify_client_gone()
        self._release_sent()
        self._update_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        now = self.listener.now()
        self._received_at = now
        self._lingering_close = LingeringClose(self, now)

    def on_client_left(self) -> None:
        """Close a connection whose client has closed its end, and abandon its requests."""
        if self._upload_paused:
            log.info("a client has left while its long body waited")
        self._discarding = True
        self._notify_client_gone()
        self.abort()

    def abort(self, *, reset: bool = False) -> None:
        """Close immediately; with `reset`, also drop output that is written but not sent yet."""
        if self._transport is None:
            return
        # Bytes that the event loop may still deliver are ignored.
        self._discarding = True
        if reset and not self._transport.is_closing():
            reset_on_close(self._transport)
        self._transport.abort()

    def close(self) -> None:
        """Close once all written output has been sent."""
        self._discarding = True
        if self._transport is not None:
            self._transport.close()

    def eof_received(self) -> bool:
        """Return False, so that the transport closes when the peer has closed its end."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio's signature
        """Remove the connection from the listener and abandon its unanswered requests.

        No reference cycle is left, so that the memory is free once its bytes are returned to the budget.
        """
        self._transport = None
        self._reader = None
        self.listener.closed(self)
        self._notify_client_gone()
        self._release_sent()
        self._upload = None
        self._parser.close()
        self._input.release()
        if self._lingering_close is not None:
            self._lingering_close.cancel()
            self._lingering_close = None

    def _notify_client_gone(self) -> None:
        """Notify the remaining exchanges that their client has disconnected."""
        exchanges = self._exchanges
        self._exchanges = []
        for exchange in exchanges:
            exchange.client_gone = True
            exchange.release()
            if exchange.on_client_gone is not None and not exchange.response_complete:
                exchange.on_client_gone()

    def pause_writing(self) -> None:
        """Pause output: the write buffer is full because the client does not read."""
        self._set_write_paused(True)

    def resume_writing(self) -> None:
        """Resume output: the client reads again."""
        self._set_write_paused(False)

    def _set_write_paused(self, paused: bool) -> None:
        self._write_paused = paused
        self.state_since = self.listener.now()
        if self._exchanges:
            self._exchanges[0].update_flow()
        self._release_sent()
        self._route()

    def _update_reading(self) -> None:
        """Pause reading only while a streamed body has to wait: only reading shows a client's disconnect."""
        if self._reader is not None:
            self._reader.set_paused(self._upload_paused and not self._discarding and not self._malformed)


def _check_expectation(message: Message) -> None:
    """Raise MessageError unless the Expect header asks for 100 Continue."""
    if message.headers[EXPECT].lower() != b"100-continue":
        raise MessageError(417, "unknown expectation")
