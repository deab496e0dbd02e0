"""The link between two processes of a hot restart: its packets, and peers that are absent or faulty."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from tests.newer_process import DISPATCHER_NAME, newer_process
from tests.site import site, until
from weldquay.net import hot_restart
from weldquay.net.counters import Counters
from weldquay.net.hot_restart_messages import PROTOCOL_VERSION, HotRestartMessage, ListenerOffer
from weldquay.net.hot_restart_packet import Packet
from weldquay.net.lifecycle import Phase
from weldquay.net.persistence import state_path
from weldquay.net.process_link import MAX_PACKET_BYTES, ProcessLink


@pytest.mark.parametrize("peer", ["stale", "file", "silent", "nonsense"])
def test_a_process_starts_alone_where_no_older_one_answers(
    peer: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stale socket, a regular file, and a peer that sends nothing or garbage do not prevent the start."""

    async def scenario() -> None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        if peer == "file":
            state_path(DISPATCHER_NAME, ".sock").write_text("")
        else:
            sock.bind(str(state_path(DISPATCHER_NAME, ".sock")))
        if peer in ("silent", "nonsense"):
            sock.listen(1)
            sock.setblocking(False)
        if peer == "nonsense":
            loop = asyncio.get_running_loop()
            loop.add_reader(sock, lambda: sock.accept()[0].send(b"nonsense"))
        async with site() as test_site:
            assert (await test_site.post()).body == b"TEXT"
            async with newer_process(test_site) as second:
                assert second.phase is Phase.SERVING and test_site.process.phase is Phase.MIGRATING
        if peer == "nonsense":
            loop.remove_reader(sock)
        sock.close()

    monkeypatch.setattr(hot_restart, "LISTENER_OFFER_TIMEOUT_S", 0.2)
    asyncio.run(scenario())


def test_packets_with_descriptors_wait_for_their_reader() -> None:
    """Packets beyond the kernel's buffer are queued; all arrive in order, and no descriptor is leaked."""

    async def scenario() -> None:
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        received: list[Packet] = []
        open_descriptors = len(os.listdir("/proc/self/fd"))
        first = ProcessLink(ends[0], received.append, lambda _: None)
        for number in range(200):
            first.send(Packet("x", {"number": number}, b"d" * 9000, os.dup(0)))
        assert first.unsent
        second = ProcessLink(ends[1], received.append, lambda _: None)
        await until(lambda: len(received) == 200)
        assert [packet.fields["number"] for packet in received] == list(range(200))
        for packet in received:
            os.close(packet.descriptor)
        assert len(os.listdir("/proc/self/fd")) == open_descriptors
        first.close()
        second.close()

    asyncio.run(scenario())


def test_packets_that_were_sent_before_a_reset_are_received() -> None:
    """A process that exits with unread packets resets the link; the kernel reports the reset first."""

    async def scenario() -> None:
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        received: list[Packet] = []
        lost = asyncio.Event()
        link = ProcessLink(ends[1], received.append, lambda _: lost.set())
        link.send(Packet("unread", {}))
        for number in range(9):
            ends[0].send(Packet("x", {"number": number}).encode())
        ends[0].close()
        await lost.wait()
        assert [packet.fields["number"] for packet in received] == list(range(9))

    asyncio.run(scenario())


class SocketWithoutUnixFamily(socket.socket):
    """A socket class that fails for new unix sockets, as under a seccomp filter; socket pairs still work."""

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if family == socket.AF_UNIX and fileno is None:
            raise OSError(97, "Address family not supported by protocol")
        super().__init__(family, type, proto, fileno)


def test_a_process_serves_alone_without_unix_sockets(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The process logs that it found no older process, and that no newer process can connect."""

    async def scenario() -> None:
        async with site() as test_site:
            assert (
                test_site.process.phase is Phase.SERVING
                and test_site.process.hot_restart.listening_socket is None
            )
            assert (await test_site.post()).body == b"TEXT" and await test_site.health() == 200
            assert not hot_restart.is_peer_listening(DISPATCHER_NAME)

    monkeypatch.setattr(socket, "socket", SocketWithoutUnixFamily)
    with caplog.at_level("INFO", logger=hot_restart.__name__):
        asyncio.run(scenario())
    lines = [record.getMessage() for record in caplog.records]
    assert any(
        line.startswith("hot restart unavailable, starting without an older process") for line in lines
    )
    assert any(line.startswith("hot restart unavailable, no newer process can connect") for line in lines)


class StubDelegate:
    """A delegate that offers a duplicate of standard input and ignores all messages."""

    def offer_listener(self) -> ListenerOffer:
        """Return an offer whose descriptor the receiver closes."""
        return ListenerOffer(descriptor=os.dup(0))

    def start_migration(self) -> None:
        """Migrate nothing."""

    def handle_message(self, message: HotRestartMessage) -> None:
        """Ignore the message."""

    def on_peer_lost(self, unsent: object) -> None:
        """Ignore the unsent messages."""


def test_a_second_hot_restart_waits_for_its_own_confirmation() -> None:
    """The end of the first link sets the events of its handshake; the second link must not use them."""

    async def scenario() -> None:
        first, second = (
            hot_restart.HotRestart(DISPATCHER_NAME, Counters(), StubDelegate()) for _ in range(2)
        )
        first.listen()
        offer = await second.request_listener()
        assert offer is not None
        os.close(offer.descriptor)
        await second.confirm_ready()
        first.stop()
        await until(lambda: second.link is None)
        second.listen()
        third = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        third.connect(str(state_path(DISPATCHER_NAME, ".sock")))
        third.send(Packet("ask", {"form": PROTOCOL_VERSION}).encode())
        packet, descriptors, *_ = await asyncio.to_thread(socket.recv_fds, third, MAX_PACKET_BYTES, 1)
        assert Packet.decode(packet).kind == "offer"
        for descriptor in descriptors:
            os.close(descriptor)
        ending = asyncio.create_task(second.end_migration())
        for _ in range(20):
            await asyncio.sleep(0)
        assert not ending.done()  # the third process has not sent its confirmation
        packet = await asyncio.to_thread(third.recv, MAX_PACKET_BYTES)
        assert Packet.decode(packet).kind == "end"
        third.send(Packet("ended", {}).encode())
        await ending
        second.stop()
        third.close()

    asyncio.run(scenario())
