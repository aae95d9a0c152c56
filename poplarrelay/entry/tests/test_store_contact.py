"""Interruption of long reads that an outage of the store has left without an answer."""

from __future__ import annotations

import asyncio
from time import monotonic

import pytest

from poplarrelay.entry.store_contact import MIN_READ_S, StoreContact
from poplarrelay.exception import PlatformUnavailable, ReadInterrupted


async def _never() -> None:
    await asyncio.Event().wait()


async def _start(contact: StoreContact) -> asyncio.Task[None]:
    read = asyncio.create_task(contact.wait_for(_never()))
    await asyncio.sleep(0)
    return read


def test_answer_after_a_failure_interrupts_the_reads_that_wait():
    async def scenario():
        times = [100.0]
        contact = StoreContact(lambda: times[0])
        read = await _start(contact)
        times[0] += MIN_READ_S
        contact.note_failure()
        await asyncio.sleep(0)
        assert not read.done()
        contact.note_answer()
        with pytest.raises(ReadInterrupted):
            await asyncio.wait_for(read, 0.5)

    asyncio.run(scenario())


def test_answers_without_a_failure_interrupt_nothing():
    # Guards against a read that ends whenever another call is answered.
    async def scenario():
        contact = StoreContact()
        read = await _start(contact)
        contact.note_answer()
        contact.note_answer()
        await asyncio.sleep(0.02)
        assert not read.done()
        read.cancel()

    asyncio.run(scenario())


def test_reads_are_not_repeated_at_the_rate_of_failing_calls():
    # Guards against more calls to a store that answers some and loses others.
    async def scenario():
        contact = StoreContact()
        start = monotonic()
        interrupted = 0
        while monotonic() < start + 2.5:
            read = await _start(contact)
            while not read.done():
                contact.note_failure()
                contact.note_answer()
                await asyncio.sleep(0.01)
            interrupted += isinstance(read.exception(), ReadInterrupted)
        assert 2 <= interrupted <= 3

    asyncio.run(scenario())


def test_result_that_arrives_with_the_interruption_is_returned():
    # Guards against records that are dropped because their own answer ends an outage.
    async def scenario():
        contact = StoreContact()

        async def read() -> str:
            await asyncio.sleep(0.01)
            contact.note_answer()
            return "records"

        contact.note_failure()
        assert await contact.wait_for(read()) == "records"

    asyncio.run(scenario())


def test_failure_of_the_read_itself_is_raised():
    async def scenario():
        async def read() -> None:
            raise PlatformUnavailable("read", 503)

        with pytest.raises(PlatformUnavailable) as raised:
            await StoreContact().wait_for(read())
        assert not isinstance(raised.value, ReadInterrupted)

    asyncio.run(scenario())
