"""A proxy in front of a worker that cuts the path to it for a while."""

import asyncio
from contextlib import suppress

from attrs import define, field

CHUNK_BYTES = 65_536


@define(kw_only=True, eq=False)
class Gate:
    """Forwards connections to a worker; while cut, all bytes wait, in silence."""

    target: tuple[str, int]
    address: tuple[str, int]
    _open: asyncio.Event = field(init=False, factory=asyncio.Event)

    async def start(self) -> asyncio.Server:
        """Serve until closed."""
        self._open.set()
        host, port = self.address
        return await asyncio.start_server(self._forward, host, port)

    def cut(self) -> None:
        """Cut the path in both directions."""
        self._open.clear()

    def heal(self) -> None:
        """Let bytes pass again, those that have waited included."""
        self._open.set()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        copies = [
            asyncio.create_task(self._copy(reader, far_writer)),
            asyncio.create_task(self._copy(far_reader, writer)),
        ]
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for copy in copies:
            copy.cancel()
        writer.close()
        far_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._open.wait()
                writer.write(chunk)
                await writer.drain()
