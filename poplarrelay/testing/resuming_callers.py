"""Callers that take up broken streams at other nodes, for tests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass, field

import orjson

from poplarrelay.entry.events import EventSplitter
from poplarrelay.exception import ExchangeFailed
from poplarrelay.testing.entry_site import EntrySite

__all__ = ["ResumingCaller", "ask_nodes", "make_callers", "run_callers"]

#: Seconds that a caller waits for the next bytes of its stream.
SILENCE_S = 4.0
#: Largest problem document that a caller reads.
MAX_PROBLEM_BYTES = 10_000


@dataclass(slots=True)
class ResumingCaller:
    """A caller of one stream, over all its tries.

    Attributes
    ----------
    stream : str
        Id of the try that brought the first event.
    content : bytes
        Complete events received so far.
    last_id : bytes or None
        Id of the last event received.
    statuses : list of int
        Status of each try; 0 if there was no answer.
    took_s : list of float
        Seconds of each try.
    complete : bool
        Whether the stream has ended and looks complete.
    detail : str
        Reason of the last refusal.
    whole : bool
        Whether the last response has arrived completely, as its framing shows.
    gave_up : bool
        Whether the caller ended the last try, since it got no bytes for too long.
    """

    site: EntrySite
    path: str = "/draft/x"
    key: str = ""
    stream: str = ""
    content: bytes = b""
    last_id: bytes | None = None
    statuses: list[int] = field(default_factory=list)
    took_s: list[float] = field(default_factory=list)
    complete: bool = False
    detail: str = ""
    whole: bool = False
    gave_up: bool = False

    async def ask(
        self, node: str, attempt: str, body: bytes = b"", **headers: str
    ) -> None:
        """Ask a node for the stream, or for what follows the last event."""
        if self.last_id is not None:
            headers.setdefault("Last_Event_Id", self.last_id.decode())
            headers.setdefault("Resumes", self.stream)
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        begun_at = asyncio.get_running_loop().time()
        self.statuses.append(0)
        self.whole = self.gave_up = False
        try:
            connection = await self.site.open(
                self.path, node, body, X_Poplarrelay_Attempt_Id=attempt, **headers
            )
        except (ExchangeFailed, OSError):
            return
        splitter = EventSplitter()
        try:
            async with asyncio.timeout(SILENCE_S):
                head = await connection.response_head()
            self.statuses[-1] = head.status
            if head.status != 200:
                body = await connection.body(MAX_PROBLEM_BYTES)
                self.whole = True
                with contextlib.suppress(ValueError, LookupError, TypeError):
                    self.detail = str(orjson.loads(body)["detail"])
            while head.status == 200:
                async with asyncio.timeout(SILENCE_S):
                    part = await connection.body_part()
                if part is None:
                    self.whole = True
                    self.complete = not splitter.inside_event
                    break
                events = splitter.feed(part)
                if events.content and self.last_id is None:
                    self.stream = attempt
                self.content += events.content
                self.last_id = events.last_id or self.last_id
        except ExchangeFailed:
            pass
        except TimeoutError:
            self.gave_up = True
        finally:
            connection.abort()
            self.took_s.append(asyncio.get_running_loop().time() - begun_at)

    @property
    def broken(self) -> bool:
        """Return whether the stream has begun and is not complete."""
        return self.last_id is not None and not self.complete


def make_callers(site: EntrySite, count: int) -> list[ResumingCaller]:
    """Return callers that have not asked for their streams yet."""
    return [ResumingCaller(site, f"/draft/{number}") for number in range(count)]


async def ask_nodes(
    callers: Sequence[ResumingCaller], nodes: Sequence[str], prefix: str = "s"
) -> None:
    """Ask some nodes in turn for streams, and wait until each one has ended."""
    await asyncio.gather(
        *(
            caller.ask(nodes[number % len(nodes)], f"{prefix}{number}")
            for number, caller in enumerate(callers)
        )
    )


async def run_callers(
    site: EntrySite, nodes: Sequence[str], count: int
) -> list[ResumingCaller]:
    """Begin streams at some nodes in turn, and wait until each one has ended."""
    callers = make_callers(site, count)
    await ask_nodes(callers, nodes)
    return callers
