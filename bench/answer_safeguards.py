"""Remove each safeguard of the answers of attempts, and check that tests fail.

    python -m bench.answer_safeguards CLONE

CLONE is a separate clone of this repository. The run changes its files and restores
them. The exit code is 0 only if the tests fail for every removal.
"""

from __future__ import annotations

from bench.entry_safeguards import ENTRY, Safeguard, main

SAFEGUARDS = (
    Safeguard(
        "a stream that ends inside an event is incomplete",
        f"{ENTRY}/answers.py",
        "    if inside_event:\n",
        "    if inside_event and not framed:\n",
        "test_incomplete_streams.py",
    ),
    Safeguard(
        "an end inside an event is not the path's",
        f"{ENTRY}/relaying.py",
        "        if result.inside_event and not result.closed:\n",
        "        if False:\n",
        "test_incomplete_streams.py",
    ),
    Safeguard(
        "a request whose first event has begun counts in the usage",
        f"{ENTRY}/relaying.py",
        """            self._state.streams_incomplete += 1
            self._count_usage(context)
""",
        "            self._state.streams_incomplete += 1\n",
        "test_incomplete_streams.py",
    ),
    Safeguard(
        "an answer has the id of its request",
        f"{ENTRY}/answers.py",
        "    if request and not marks.requests:\n",
        "    if False:\n",
        "test_foreign_answers.py",
    ),
    Safeguard(
        "all ids of an answer are compared",
        f"{ENTRY}/answers.py",
        "    if any(stated != request for stated in marks.requests):\n",
        "    if marks.requests and marks.requests[0] != request:\n",
        "test_foreign_answers.py",
    ),
    Safeguard(
        "a success is signed",
        f"{ENTRY}/answers.py",
        "        if not marks.signed:\n",
        "        if False:\n",
        "test_foreign_answers.py",
    ),
    Safeguard(
        "a success has no content encoding",
        f"{ENTRY}/answers.py",
        "        if marks.encoded:\n",
        "        if False:\n",
        "test_foreign_answers.py",
    ),
    Safeguard(
        "foreign bytes on a kept connection do not change the health",
        f"{ENTRY}/relaying.py",
        "            if attempt.alone_on_connection:\n",
        "            if True:\n",
        "test_foreign_answers.py",
    ),
    Safeguard(
        "an endpoint that spoils all answers is avoided",
        f"{ENTRY}/relaying.py",
        "            if attempt.alone_on_connection:\n",
        "            if False:\n",
        "test_endless_answers.py",
    ),
    Safeguard(
        "a call is collected whatever its content type",
        f"{ENTRY}/attempts.py",
        " and self.plan.streams and _is_event_stream(head):\n",
        " and _is_event_stream(head):\n",
        "test_foreign_answers.py",
    ),
    Safeguard(
        "no attempt is sent on a connection that has carried its request",
        f"{ENTRY}/attempts.py",
        "        plan.used_connections.add(self._connection)\n",
        "",
        "test_late_rejections.py",
    ),
    Safeguard(
        "requests of one id share the connections that they avoid",
        f"{ENTRY}/answers.py",
        "            yield self._sets.setdefault(request, set())\n",
        "            yield set()\n",
        "test_late_rejections.py",
    ),
    Safeguard(
        "a kept connection with unread bytes is not used",
        f"{ENTRY}/http/pool.py",
        "                and not connection.has_unread_bytes()\n",
        "",
        "test_late_rejections.py",
    ),
    Safeguard(
        "streams that are taken up may overdraw the quota",
        f"{ENTRY}/charging.py",
        "RESUMED_SHARE = 0.5\n",
        "RESUMED_SHARE = 0.0\n",
        "test_quotas.py",
    ),
    Safeguard(
        "origins are sent at most 0.25 s after a batch",
        f"{ENTRY}/stream_archive.py",
        "SEND_INTERVAL_S = 0.25\n",
        "SEND_INTERVAL_S = 0.5\n",
        "test_stream_archive.py",
    ),
    Safeguard(
        "callers may read slowly until their deadline",
        f"{ENTRY}/relaying.py",
        "        exchange.allow_silence_until(context.deadline)\n",
        "",
        "test_slow_readers.py",
    ),
    Safeguard(
        "an answer goes on only if its origin is certain",
        f"{ENTRY}/relaying.py",
        "refusal or await self._refuse_doubtful_origin(context)\n",
        "refusal\n",
        "test_origins.py",
    ),
    Safeguard(
        "doubtful origins are withdrawn",
        f"{ENTRY}/resumption.py",
        "        self._check_watched()\n",
        "",
        "test_origins.py",
    ),
)


if __name__ == "__main__":
    raise SystemExit(main(SAFEGUARDS))
