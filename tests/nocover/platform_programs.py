"""Starts the programs of deploy/system.toml as processes and calls them over HTTP."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from aiosonic import HTTPClient

ROOT = Path(__file__).parents[2]
HEADERS = {"Content-Type": "application/json", "Authorization": "Token k1", "Host": "jobs.example"}
POLL_S = 0.1


async def call(method: str, host: str, port: int, path: str, body: Any = None) -> tuple[int, Any]:
    """Sends a request and returns status and body, or status 0 if the connection fails."""
    client = HTTPClient()
    data = msgspec.json.encode(body) if body is not None else None
    try:
        response = await client.request(
            f"http://{host}:{port}{path}", method, headers=HEADERS, data=data
        )
        content = await response.content()
        return response.status_code, msgspec.json.decode(content) if content else None
    except (OSError, ConnectionError, msgspec.DecodeError):
        return 0, None
    except Exception as error:
        # aiosonic raises its own exception types for failed connections.
        return 0, str(error)
    finally:
        await client.connector.cleanup()


async def poll_until(is_expected: Callable[[Any], bool], *arguments: Any) -> Any:
    """Repeats a call until its result is as expected; the timeout of the test limits this."""
    while not is_expected(answer := await call(*arguments)):
        await asyncio.sleep(POLL_S)
    return answer


class Program:
    """One program, whose settings file may be replaced while it runs or between two runs."""

    def __init__(self, name: str, folder: Path) -> None:
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, text: str) -> None:
        self.settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        environment = {**os.environ, "CICADATRAY_CONFIG": str(self.settings)}
        command = [sys.executable, str(ROOT / "deploy" / "launch.py")]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, env=environment, cwd=ROOT, stdout=log)

    def send(self, signal_number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(signal_number)

    def wait(self, timeout_s: float) -> int:
        assert self.process is not None
        return self.process.wait(timeout_s)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
