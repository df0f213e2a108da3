"""A TCP relay on the loopback address that injects network faults.

Tests put it between two processes to delay or reset their connections, to
limit their bandwidth, or to block one or both directions, without changes to
the processes.
"""

import asyncio
import socket
import time

#: Maximum number of bytes that are forwarded at once.
READ_BYTES = 16384

#: Connections that fill the queue of a listener with the shortest queue.
FILLERS = 2

#: Directions of a relayed connection.
CLIENT_TO_TARGET, TARGET_TO_CLIENT = "forth", "back"


class Relay:
    """Relays connections to one address in the event loop of start()."""

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        #: Bandwidth that all connections share in each direction; None for no
        #: limit.
        self.bytes_per_s = None
        #: Time at which each direction has sent what it has accepted.
        self.sent_at = {}
        #: Directions in which no data is forwarded; it is held back until the
        #: direction is removed.
        self.blocked_directions = set()
        #: Whether the block also applies to connections opened from now on.
        self.blocks_new_connections = True
        #: Connections that fill the queue while none is accepted.
        self.fillers = []
        self.refuses_connections = False
        self.writers = set()
        self.address = None
        self.server, self.listener = None, None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % \
            self.server.sockets[0].getsockname()[1]
        return self

    async def stop_accepting(self):
        """Leaves new connections in the state in which their opening packet is
        not answered, as behind a full queue."""
        self.server.close()
        host, port = self.address.rsplit(":", 1)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.fillers.append(filler)
        self.listener = listener

    async def resume_accepting(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.setblocking(False)
        self.server = await asyncio.start_server(self.serve,
                                                 sock=self.listener)

    def reset(self):
        """Resets every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    def clear_faults(self):
        self.delay_s, self.refuses_connections = 0.0, False
        self.bytes_per_s = None
        self.blocked_directions.clear()
        self.blocks_new_connections = True

    async def serve(self, reader, writer):
        if self.refuses_connections:
            writer.transport.abort()
            return
        is_blockable = self.blocks_new_connections
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self.pump(reader, target_writer, CLIENT_TO_TARGET,
                          is_blockable),
                self.pump(target_reader, writer, TARGET_TO_CLIENT,
                          is_blockable))
        except asyncio.CancelledError:
            # The event loop stops at the end of a test; an error from here
            # would only add noise to the output.
            pass

    async def await_bandwidth(self, direction, size):
        if self.bytes_per_s is None:
            return
        now = time.monotonic()
        start = max(now, self.sent_at.get(direction, now))
        self.sent_at[direction] = start + size / self.bytes_per_s
        await asyncio.sleep(self.sent_at[direction] - now)

    async def pump(self, reader, writer, direction, is_blockable):
        self.writers.add(writer)
        try:
            while True:
                data = await reader.read(READ_BYTES)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.await_bandwidth(direction, len(data))
                while is_blockable and direction in self.blocked_directions:
                    await asyncio.sleep(0.02)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
