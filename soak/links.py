"""Loopback TCP links whose faults the soak sets: delays, resets, silence and cuts in either direction."""

import asyncio
import threading

HOST = "127.0.0.1"
BLOCK_BYTES = 65536


class Loop:
    """Event loop on a thread of its own that carries all links."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)


class Link:
    """Passes connections on to a port. `delay`: seconds added to each block. `cut`: directions in which nothing passes
    ("to", "from"); connections that begin during a cut are accepted and wait."""

    def __init__(self, loop, target_port):
        self.target_port, self.delay, self.cut, self.writers = target_port, 0.0, frozenset(), set()
        self.loop = loop
        self.server = loop.run(asyncio.start_server(self.serve, HOST, 0))
        self.port = self.server.sockets[0].getsockname()[1]

    def heal(self):
        self.delay, self.cut = 0.0, frozenset()

    def reset(self):
        """Resets all connections."""
        def abort():
            for writer in list(self.writers):
                writer.transport.abort()
        self.loop.loop.call_soon_threadsafe(abort)

    async def serve(self, reader, writer):
        while "to" in self.cut:
            await asyncio.sleep(0.02)
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, "to"), self.pump(far_reader, writer, "from"), return_exceptions=True)
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(BLOCK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while direction in self.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()
