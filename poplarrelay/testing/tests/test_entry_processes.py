"""Node processes of the tests."""

import asyncio
import signal
from pathlib import Path

from poplarrelay.testing.entry_site import EntryProcess

#: Processes, and seconds for which each of them runs.
PROCESSES, RUN_S = 50, 0.03


def test_signal_at_the_end_of_a_process_keeps_its_exit_code():
    # Guards against exit codes that look like failures of a node.
    async def scenario():
        for _ in range(PROCESSES):
            process = await asyncio.create_subprocess_exec("sleep", str(RUN_S))
            started = EntryProcess(process, Path(), Path())
            await asyncio.sleep(0.9 * RUN_S)
            while process.returncode is None:
                started.signal(signal.SIGCONT)
                await asyncio.sleep(0)
            assert process.returncode == 0

    asyncio.run(scenario())
