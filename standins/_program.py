"""Common base of the stand-ins that serve HTTP."""

import asyncio
import json
import signal
from abc import ABC, abstractmethod
from collections.abc import Callable
from datetime import datetime, timezone
from typing import Any, TypeVar

import click
import uvloop
from aiohttp import web
from pydantic import BaseModel, ConfigDict, ValidationError

SHUTDOWN_SECONDS = 0.5
MAX_BODY_BYTES = 64 * 1024 * 1024

Command = TypeVar("Command", bound=Callable[..., Any])
Model = TypeVar("Model", bound=BaseModel)


class StandinError(Exception):
    """Base of the failures that a stand-in simulates."""


class ConnectionBroken(StandinError):
    """The connection is closed without a complete response."""


class FaultSettings(BaseModel):
    """Base of the fault settings; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", validate_assignment=True)


class Standin(ABC):
    """Behaviour of one stand-in, independent of HTTP."""

    faults: FaultSettings

    @abstractmethod
    def record(self) -> dict[str, Any]:
        """Return what the stand-in actually did, whatever its callers observed."""

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Change the given fault settings and keep the others.

        :raises pydantic.ValidationError: a name is unknown or a value invalid.
        """
        accepted = type(self.faults).model_validate(changes)
        for name in accepted.model_fields_set:
            setattr(self.faults, name, getattr(accepted, name))
        self.on_faults_changed(accepted.model_fields_set)

    def on_faults_changed(self, names: set[str]) -> None:
        """React to a change of the fault settings ``names``."""

    async def start(self) -> None:
        """Start the background tasks."""

    async def stop(self) -> None:
        """Stop the background tasks."""


class Program(ABC):
    """HTTP server of one stand-in.

    :param standin: the behaviour behind the handlers.
    """

    name: str

    def __init__(self, standin: Standin) -> None:
        self.standin = standin

    @abstractmethod
    def routes(self) -> list[web.RouteDef]:
        """Return the routes besides those under ``/control``."""

    def application(self) -> web.Application:
        """Build the application; control routes precede the stand-in's routes."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[_error_middleware]
        )
        app.add_routes(
            [
                web.get("/control/faults", self._show_faults),
                web.post("/control/faults", self._change_faults),
                web.get("/control/record", self._show_record),
            ]
        )
        app.add_routes(self.routes())
        app.on_startup.append(self._start_standin)
        app.on_cleanup.append(self._stop_standin)
        return app

    async def _start_standin(self, app: web.Application) -> None:
        await self.standin.start()

    async def _stop_standin(self, app: web.Application) -> None:
        await self.standin.stop()

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.json_response(self.standin.faults.model_dump())

    async def _change_faults(self, request: web.Request) -> web.Response:
        self.standin.change_faults(await request.json())
        return await self._show_faults(request)

    async def _show_record(self, request: web.Request) -> web.Response:
        return web.json_response(self.standin.record())


@web.middleware
async def _error_middleware(
    request: web.Request, handler: Callable[[web.Request], Any]
) -> web.StreamResponse:
    try:
        return await handler(request)
    except ConnectionBroken:
        abort_connection(request)
        return web.Response()
    except ConnectionError:
        # The caller disconnected, so this response is discarded.
        return web.Response()
    except ValidationError as error:
        error_details = error.errors(include_url=False, include_context=False)
        return web.json_response(
            {"errors": error_details}, status=422, dumps=_dump_json
        )
    except ValueError as error:
        return web.json_response({"errors": [str(error)]}, status=400)


def _dump_json(value: Any) -> str:
    return json.dumps(value, default=str)


def abort_connection(request: web.Request) -> None:
    """Abort the connection at once; unsent bytes are lost."""
    if request.transport is not None:
        request.transport.abort()


def close_connection(request: web.Request) -> None:
    """Close the connection after the bytes written so far."""
    if request.transport is not None:
        request.transport.close()


async def parse_body(request: web.Request, model: type[Model]) -> Model:
    """Parse the JSON body of a request as ``model``.

    :raises pydantic.ValidationError: the body does not match ``model``.
    """
    return model.model_validate_json(await request.read())


def loop_time() -> float:
    """Return the time of the running loop, in seconds."""
    return asyncio.get_running_loop().time()


def wall_time() -> float:
    """Return the wall-clock time, in seconds since 1970 (UTC)."""
    return datetime.now(timezone.utc).timestamp()


def listen_options(command: Command) -> Command:
    """Add the options ``--ip`` and ``--port``."""
    command = click.option(
        "--port", type=int, default=0, help="TCP port; 0 chooses a free one."
    )(command)
    return click.option("--ip", default="127.0.0.1", help="Address to listen on.")(
        command
    )


def run_program(program: Program, ip: str, port: int) -> None:
    """Serve ``program`` until SIGTERM or SIGINT."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(program, ip, port))


async def _serve(program: Program, ip: str, port: int) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    runner = web.AppRunner(
        program.application(), access_log=None, shutdown_timeout=SHUTDOWN_SECONDS
    )
    await runner.setup()
    site = web.TCPSite(runner, ip, port)
    await site.start()
    bound_port = runner.addresses[0][1]
    click.echo(f"ready {program.name} {ip} {bound_port}")
    await stop_requested.wait()
    await runner.cleanup()
