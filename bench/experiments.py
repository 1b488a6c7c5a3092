"""Runs the dispatch and detection experiments on the model."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace
from collections import Counter
from pathlib import Path
from statistics import mean, median
from typing import Final

from bench.model.rig import POLICY, Rig, RigSpec
from bench.model.targets import Fault
from bench.model.trace import (
    Outcome,
    Scenario,
    record,
    replay_all,
    scenarios,
    write_trace,
)
from bench.model.workload import Workspace
from oleanderridge.generated.bundle import HealthPolicy

_SHARES: Final = {
    'large-1': 0.25,
    'large-2': 0.2,
    'large-3': 0.15,
    'small-1': 0.08,
    'small-2': 0.08,
    'small-3': 0.08,
    'small-4': 0.08,
    'small-5': 0.08,
}
# Few false ejections and fast detection: a larger factor is as fast for a
# target that limps 8 times and blames fewer that are only a little slow.
_FEW_FALSE: Final = HealthPolicy(**{**POLICY, 'latency_factor': 4})
# Worst-served workspace: near capacity a false ejection costs more than a
# slow target that holds two requests, so more samples are asked for.
_WORST_SERVED: Final = HealthPolicy(
    **{**POLICY, 'minimum_samples': 14, 'floor': 0.8}
)
SETTINGS: Final[dict[str, tuple[int, HealthPolicy]]] = {
    'pattern-store': (6, _FEW_FALSE),
    'sett-lookup': (25, _WORST_SERVED),
}
TRACED: Final = (
    'limping',
    'short',
    'short-third',
    'timeout',
    'reset',
    'flapping',
    'one-zone',
    'one-host',
    'all-slow',
    'misleading',
    'none-heavy',
)
# Recorded traces are kept small: lower load and shorter than the experiment.
_TRACE_LOAD: Final = 0.4
_TRACE_S_BY_NAME: Final = {'flapping': 45, 'misleading': 45, 'one-host': 20}
_OVER_RATE: Final = 'small-5'
_MULTIPLE: Final = 4


def workspaces_at(load: float, capacity: float) -> tuple[Workspace, ...]:
    """Return eight workspaces whose rates add up to a part of capacity."""
    return tuple(
        Workspace(
            name=name,
            rate=share * load * capacity,
            burst=max(20, share * load * capacity / 2),
            multiple=_MULTIPLE if name == _OVER_RATE else 1,
        )
        for name, share in _SHARES.items()
    )


def dispatch_spec(variant: str, load: float, options: Namespace) -> RigSpec:
    """Return the rig of the dispatch experiment."""
    capacity = options.targets * 2 / 0.05
    limping = Fault('limping', frozenset(('t3',)), start=0, factor=8)
    return RigSpec(
        variant=variant,
        workspaces=workspaces_at(load, capacity),
        faults=(limping,),
        hosts=options.hosts,
        targets=options.targets,
        duration_s=options.duration,
        admission=options.admission,
        weighted=options.weighted,
        queue_limit=options.queue_limit,
        policy=_changed(SETTINGS['sett-lookup'][1], options),
        groups=options.groups if variant == 'broker' else 1,
    )


def _changed(policy: HealthPolicy, options: Namespace) -> HealthPolicy:
    changed = {name: float(value) for name, value in options.policy}
    return HealthPolicy(**{**policy, **changed})


def _row(rigs: list[Rig]) -> dict[str, float]:
    by_seed = []
    for rig in rigs:
        tallies = rig.tallies
        own = {
            name: tally for name, tally in tallies.items() if name != _OVER_RATE
        }
        worst = min(own.values(), key=lambda tally: tally.success_share())
        by_seed.append(
            {
                'worst_share': worst.success_share(),
                'worst_p99': max(t.percentile(0.99) for t in own.values()),
                'worst_p50': max(t.percentile(0.5) for t in own.values()),
                'wrongful': sum(t.inside - t.inside_ok for t in own.values()),
                'over_ok': len(tallies[_OVER_RATE].latencies_ms),
                'sheds': sum(t.sheds for t in rig.targets.values()),
            }
        )
    return {key: mean(row[key] for row in by_seed) for key in by_seed[0]}


def run_dispatch(options: Namespace) -> None:
    """Compare independent dispatch with the broker."""
    seeds = range(options.seed, options.seed + options.seeds)
    for load in options.loads:
        for variant in options.variants:
            rigs = []
            for seed in seeds:
                rig = Rig(dispatch_spec(variant, load, options), seed)
                rig.run()
                rigs.append(rig)
            row = _row(rigs)
            print(
                f'load={load:.2f} variant={variant}'
                f' worst_success={row["worst_share"]:.4f}'
                f' worst_p50_ms={row["worst_p50"]:.0f}'
                f' worst_p99_ms={row["worst_p99"]:.0f}'
                f' refused_inside_rate={row["wrongful"]:.1f}'
                f' sheds={row["sheds"]:.0f}'
                f' over_rate_served={row["over_ok"]:.0f}',
                flush=True,
            )
            if options.by_workspace:
                _print_workspaces(rigs)


def _print_workspaces(rigs: list[Rig]) -> None:
    for name in _SHARES:
        tallies = [rig.tallies[name] for rig in rigs]
        p50 = mean(tally.percentile(0.5) for tally in tallies)
        p99 = mean(tally.percentile(0.99) for tally in tallies)
        share = mean(tally.success_share() for tally in tallies)
        failures = sum((tally.failures for tally in tallies), start=_none())
        print(
            f'  workspace={name} p50_ms={p50:.0f} p99_ms={p99:.0f}'
            f' success_inside_rate={share:.4f} failures={dict(failures)}'
        )


def _none() -> Counter[str]:
    return Counter()


def run_detection(options: Namespace) -> None:
    """Replay recorded faults against the policy of a setting."""
    seeds = range(options.seed, options.seed + options.seeds)
    for setting, (targets, own) in SETTINGS.items():
        policy = _changed(own, options)
        for name in options.faults or scenarios():
            scenario = scenarios()[name]
            if options.duration:
                scenario = scenario._replace(duration_s=options.duration)
            traces = [record(name, targets, seed, scenario) for seed in seeds]
            print(
                f'setting={setting} targets={targets} fault={name}'
                f' {_outcomes(replay_all(traces, policy))}',
                flush=True,
            )


def run_record(options: Namespace) -> None:
    """Write the traces that ``features/ejection.feature`` replays."""
    options.directory.mkdir(exist_ok=True)
    for name in TRACED:
        trace = record(name, 6, options.seed, _traced(name))
        write_trace(trace, options.directory / f'{name}.jsonl')


def _traced(name: str) -> Scenario:
    scenario = scenarios()[name]
    return scenario._replace(
        load=min(scenario.load, _TRACE_LOAD),
        duration_s=min(scenario.duration_s, _TRACE_S_BY_NAME.get(name, 6)),
    )


def _outcomes(outcomes: list[Outcome]) -> str:
    found = sorted(
        outcome.detection_s
        for outcome in outcomes
        if outcome.detection_s is not None
    )
    middle = f'{median(found):.2f}' if found else 'none'
    longest = f'{found[-1]:.2f}' if found else 'none'
    return (
        f'detected={len(found)}/{len(outcomes)}'
        f' median_s={middle} max_s={longest}'
        f' false={sum(outcome.false_ejections for outcome in outcomes)}'
        f' met_fault={mean(outcome.bad_requests for outcome in outcomes):.1f}'
        f' durations_s={outcomes[0].durations_s}'
    )


def _add_policy(command: ArgumentParser) -> None:
    command.add_argument(
        '--policy',
        nargs='*',
        default=[],
        type=lambda text: text.split('='),
        help='thresholds that replace those of the setting: name=value',
    )


def parser() -> ArgumentParser:
    """Return the command line of the experiments."""
    root = ArgumentParser(prog='python -m bench.experiments')
    commands = root.add_subparsers(dest='experiment', required=True)
    dispatch = commands.add_parser('dispatch')
    dispatch.add_argument('--seed', type=int, default=1)
    dispatch.add_argument('--seeds', type=int, default=3)
    dispatch.add_argument('--hosts', type=int, default=48)
    dispatch.add_argument('--targets', type=int, default=25)
    dispatch.add_argument('--groups', type=int, default=1)
    dispatch.add_argument('--duration', type=float, default=20)
    dispatch.add_argument('--admission', action='store_true')
    dispatch.add_argument('--queue-limit', type=int, default=64)
    dispatch.add_argument('--weighted', action='store_true')
    dispatch.add_argument('--by-workspace', action='store_true')
    dispatch.add_argument(
        '--loads', type=float, nargs='+', default=[0.6, 0.8, 0.95]
    )
    dispatch.add_argument(
        '--variants', nargs='+', default=['independent', 'broker']
    )
    dispatch.set_defaults(run=run_dispatch)
    _add_policy(dispatch)
    detection = commands.add_parser('detection')
    detection.add_argument('--seed', type=int, default=1)
    detection.add_argument('--seeds', type=int, default=10)
    detection.add_argument('--faults', nargs='*')
    _add_policy(detection)
    detection.add_argument('--duration', type=float)
    detection.set_defaults(run=run_detection)
    recording = commands.add_parser('record')
    recording.add_argument('--seed', type=int, default=7)
    recording.add_argument(
        '--directory', type=Path, default=Path('features/traces')
    )
    recording.set_defaults(run=run_record)
    return root


def main(arguments: list[str]) -> int:
    """Run one experiment and print its figures."""
    options = parser().parse_args(arguments)
    options.run(options)
    return 0


if __name__ == '__main__':
    raise SystemExit(main(sys.argv[1:]))
