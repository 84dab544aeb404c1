"""A crowd of clients that stop within a request and stay connected.

One process holds some hundred connections. A client whose connection is closed opens
another one after a while. Arguments: the address, the port, the number of clients, and
the seconds after which they return.
"""

import asyncio
import sys

HALF_REQUEST = b"GET /parts/1 HTTP/1.1\r\nHost: shop.example\r\nX-Note: half of a"
AT_ONCE = 100
PAUSE_S = 0.05


async def misbehave(ip: str, port: int, return_s: float) -> None:
    """Send half a request and wait, again and again."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(HALF_REQUEST)
            while await reader.read(4096):
                pass
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(return_s)


async def main(ip: str, port: int, clients: int, return_s: float) -> None:
    """Let the clients come, some at a time, and stay until the process is killed."""
    tasks = []
    for number in range(clients):
        tasks.append(asyncio.create_task(misbehave(ip, port, return_s)))
        if number % AT_ONCE == AT_ONCE - 1:
            await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(
        main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
    )
