"""The command line and the server that the HTTP stand-ins share."""

import argparse
import asyncio
import signal
from pathlib import Path

from starlette.applications import Starlette

from cicadatray.internal.entry.http_server import HttpServer


def standin_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser for the options that all stand-ins share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--journal", type=Path, required=True)
    parser.add_argument("--fail-all", action="store_true")
    return parser


async def serve_until_stopped(application: Starlette, host: str, port: int) -> None:
    """Serves until SIGTERM, then finishes the requests in progress."""
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    server = HttpServer(application, host, port)
    await server.start()
    await stop.wait()
    await server.stop()
