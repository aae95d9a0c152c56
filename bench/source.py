"""A stand-in engine that sends tokens at full speed, to measure the relay."""

from __future__ import annotations

import argparse
import time
from collections.abc import Iterator

import cherrypy
import orjson

from poplarrelay.standins.base import MAX_BODY_BYTES, run_stand_in
from poplarrelay.standins.engine import EngineBody
from poplarrelay.web.exchange import answer_json, read_json


class TokenSource:
    """HTTP handlers of the stand-in engine.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    write_interval_s : float
        Seconds between two writes.
    tokens_per_write : int
        Number of tokens in one write.
    """

    def __init__(
        self, name: str, write_interval_s: float, tokens_per_write: int
    ) -> None:
        self._name = name
        self._tokens_per_write = tokens_per_write
        self._write_interval_s = write_interval_s
        self.v1 = TokenSource.V1(self)

    class V1:
        """Handlers of the paths below ``/v1``."""

        def __init__(self, source: TokenSource) -> None:
            self.completions = source.completions
            self.cancel = source.cancel

    @cherrypy.expose
    def load(self) -> bytes:
        """Report an idle engine with free slots."""
        return answer_json(
            {
                "endpoint": self._name,
                "running": 0,
                "queued": 0,
                "slots": 1000,
                "queued_tokens": 0,
                "prefill_tokens_per_s": 1e9,
                "step_s": 0.001,
            }
        )

    @cherrypy.expose
    def cancel(self) -> bytes:
        """Accept a cancellation and ignore it."""
        return answer_json({})

    @cherrypy.expose
    def completions(self) -> Iterator[bytes]:
        """Stream the requested number of tokens as server-sent events."""
        body = read_json(EngineBody, MAX_BODY_BYTES)
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        cherrypy.response.stream = True
        return self._events(body)

    def _events(self, body: EngineBody) -> Iterator[bytes]:
        attempt = orjson.dumps(body.attempt)
        event = b'data: {"attempt":%b,"index":%d,"choices":[{"text":"token "}]}\n\n'
        for first in range(0, body.max_tokens, self._tokens_per_write):
            last = min(first + self._tokens_per_write, body.max_tokens)
            yield b"".join(event % (attempt, index) for index in range(first, last))
            if self._write_interval_s:
                time.sleep(self._write_interval_s)
        yield (
            b'data: {"attempt":%b,"finish":"stop","count":%d}\n\ndata: [DONE]\n\n'
            % (attempt, body.max_tokens)
        )


def main() -> None:
    """Run the token source until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--pace-s", type=float, default=0.0)
    parser.add_argument("--group", type=int, default=8)
    options = parser.parse_args()
    source = TokenSource(options.name, options.pace_s, options.group)
    run_stand_in(options.host, options.port, source, threads=256)


if __name__ == "__main__":
    main()
