"""Tests of the HTTP log client with late, malformed and missing answers."""

import asyncio
import unittest

from aiohttp import web

from cranberryrun.exceptions import (
    AppendUnknownError,
    LogReadError,
    LogUnavailableError,
)
from cranberryrun.http import HttpClients
from cranberryrun.kernel import Kernel
from cranberryrun.log import HttpLog, Log
from cranberryrun.settings import LogSettings

_PAGE = '{"records": [{"offset": 3, "time": 1.5, "value": [1]}], "first": 3, "next": 4}'
_MALFORMED_BODIES = ("", "<html>", "[]", "7", "{}", '{"offset": "x"}', '{"offset": -1}')


class HttpLogTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.answer = (200, "{}")
        self.headers = {}
        self.delay = 0.0
        self.aborts_connections = False
        app = web.Application()
        app.add_routes([web.route("*", "/{path:.*}", self._serve_answer)])
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = self.runner.addresses[0][1]
        self.kernel = Kernel()
        self.kernel.register(HttpClients(0.5))
        self.kernel.register(
            HttpLog(LogSettings(url=f"http://127.0.0.1:{port}"), timeout=0.3)
        )
        await self.kernel.start()
        self.log = self.kernel.get(Log)

    async def asyncTearDown(self):
        await self.kernel.stop()
        await self.runner.cleanup()

    async def _serve_answer(self, request):
        await asyncio.sleep(self.delay)
        if self.aborts_connections:
            request.transport.abort()
        status, text = self.answer
        return web.Response(status=status, text=text)

    async def append(self):
        return await self.log.append("config", [1])

    async def read(self):
        return await self.log.read("config", 0, 10, 0)

    async def test_well_formed_answers_are_parsed(self):
        self.answer = (200, '{"offset": 7, "count": 1, "more": 1}')
        self.assertEqual(await self.append(), 7)
        self.answer = (200, _PAGE)
        page = await self.read()
        self.assertEqual((page.first, page.next), (3, 4))
        self.assertEqual(page.records[0].value, [1])

    async def test_append_is_refused_only_when_certainly_not_appended(self):
        for answer in ((503, '{"appended": false}'), (429, "")):
            self.answer = answer
            with self.assertRaises(LogUnavailableError):
                await self.append()
        for answer in (
            (503, '{"appended": true}'),
            *((status, body) for status in (200, 503) for body in _MALFORMED_BODIES),
            (500, '{"appended": false}'),
            (404, ""),
        ):
            self.answer = answer
            with self.assertRaises(AppendUnknownError, msg=answer):
                await self.append()

    async def test_read_raises_when_the_answer_is_malformed_or_an_error(self):
        failing_answers = [(200, body) for body in _MALFORMED_BODIES]
        failing_answers += [(status, _PAGE) for status in (500, 502, 503, 404)]
        failing_answers += [(200, _PAGE.replace("3,", "null,", 1)), (200, _PAGE[:40])]
        for answer in failing_answers:
            self.answer = answer
            with self.assertRaises(LogReadError, msg=answer):
                await self.read()

    async def test_outcome_is_unknown_when_the_log_answers_too_late(self):
        self.delay = 1.0
        with self.assertRaises(AppendUnknownError):
            await self.append()
        with self.assertRaises(LogReadError):
            await self.read()

    async def test_outcome_is_unknown_when_the_connection_breaks(self):
        self.aborts_connections = True
        with self.assertRaises(AppendUnknownError):
            await self.append()
        with self.assertRaises(LogReadError):
            await self.read()

    async def test_append_is_refused_when_nothing_listens(self):
        await self.runner.cleanup()
        with self.assertRaises(LogUnavailableError):
            await self.append()
        with self.assertRaises(LogReadError):
            await self.read()
