"""A plain replica in a process of its own, which a case may kill.

It answers with neither a length nor chunks, in pieces; the end of the connection ends
the answer. It prints its port, and a line for each request that it runs.
"""

import asyncio
import sys

import rig3

PIECES = 20
PIECE_BYTES = 2000
PIECE_S = 0.02


def make_body(name: str, attempt: str) -> bytes:
    """Return the whole body of an answer."""
    pieces = []
    for number in range(PIECES):
        text = f"{name} {attempt} {number:3d} "
        pieces.append(text.ljust(PIECE_BYTES, ".").encode())
    return b"".join(pieces)


async def serve(
    name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request, then close the connection in order."""
    request = await rig3.read_request(reader)
    if request is not None:
        attempt = request.headers.get("x-attempt-id", "")
        headers = [("X-Attempt-Id", attempt)]
        if request.headers.get("x-target-replica", name) != name:
            writer.write(rig3.encode_answer(421, b"", headers))
        else:
            print(f"runs {attempt}", flush=True)
            headers.append(("X-Response-Signature", f"sig-{attempt}"))
            headers.append(("Connection", "close"))
            writer.write(rig3.encode_head(200, headers))
            body = make_body(name, attempt)
            for first in range(0, len(body), PIECE_BYTES):
                writer.write(body[first : first + PIECE_BYTES])
                await writer.drain()
                await asyncio.sleep(PIECE_S)
    writer.close()


async def main(ip: str, name: str) -> None:
    """Serve until the process is killed."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(name, reader, writer)
        except ConnectionError:
            writer.close()

    server = await asyncio.start_server(on_connection, ip, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2]))
