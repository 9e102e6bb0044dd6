"""Weight sources of the engine stand-in."""

import asyncio
from abc import ABC, abstractmethod

import aiohttp

from ._program import StandinError

FIXED_DOWNLOAD_SECONDS = 0.3
MAX_ATTEMPTS = 5
DEFAULT_RETRY_SECONDS = 0.5


class DownloadFailed(StandinError):
    """The weights were not downloaded completely."""


class WeightSource(ABC):
    """Base of the weight sources."""

    @abstractmethod
    async def download(self, workload: str, version: int) -> None:
        """Download one version.

        :raises DownloadFailed: the version was not downloaded completely.
        """


class FixedDelaySource(WeightSource):
    """Simulates a download that takes a fixed time.

    :param seconds: duration of each download.
    """

    def __init__(self, seconds: float = FIXED_DOWNLOAD_SECONDS) -> None:
        self.seconds = seconds

    async def download(self, workload: str, version: int) -> None:
        """Wait for the fixed duration."""
        await asyncio.sleep(self.seconds)


class HttpSource(WeightSource):
    """Downloads weights from the platform's weight store.

    :param url: base URL of the store.
    """

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")

    async def download(self, workload: str, version: int) -> None:
        """Download the version; retry while the store is at its read limit (429)."""
        url = f"{self.url}/weights/{workload}/{version}"
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0, sock_read=10.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await self._read_with_retries(session, url)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise DownloadFailed from error

    async def _read_with_retries(
        self, session: aiohttp.ClientSession, url: str
    ) -> None:
        for _ in range(MAX_ATTEMPTS):
            async with session.get(url) as response:
                if response.status == 200:
                    async for _chunk in response.content.iter_any():
                        continue
                    return
                if response.status != 429:
                    raise DownloadFailed
                delay = response.headers.get("Retry-After", DEFAULT_RETRY_SECONDS)
            await asyncio.sleep(float(delay))
        raise DownloadFailed
