"""Runs the event loop of process scenarios and stops what they started."""

import asyncio
from contextlib import AsyncExitStack

_LOG_LINES = 4
_LOG_WIDTH = 160
# No scenario may hold up the suite; each needs a fraction of this.
_SCENARIO_S = 60


def before_scenario(context, scenario):
    if 'process' not in scenario.effective_tags:
        return
    context.loop = asyncio.new_event_loop()
    context.stack = AsyncExitStack()
    context.fleet = None

    def run(work):
        limited = asyncio.wait_for(work, _SCENARIO_S)
        return context.loop.run_until_complete(limited)

    context.run = run


def after_scenario(context, scenario):
    if 'process' not in scenario.effective_tags:
        return
    if (
        scenario.status.name in {'failed', 'error'}
        and context.fleet is not None
    ):
        _print_logs(context.fleet)
    context.loop.run_until_complete(_stop(context))
    context.loop.close()


async def _stop(context):
    """End what still runs in the loop, then the processes."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await context.stack.aclose()


def _print_logs(fleet):
    processes = fleet.around.processes
    for running in processes.started:
        if running.name in fleet.names:
            print(f'-- log of {running.name}')
            for line in running.text().splitlines()[-_LOG_LINES:]:
                # The end of a line names the exception.
                print(line[:_LOG_WIDTH], line[_LOG_WIDTH:][-_LOG_WIDTH:])
