"""Steps that replay recorded traces against the health policy."""

from pathlib import Path

from behave import given, then, when

from bench.experiments import SETTINGS
from bench.model.trace import Replay, read_trace

_TRACES = Path(__file__).parent.parent / 'traces'


@given('the recorded trace "{name}"')
def given_trace(context, name):
    context.trace = read_trace(_TRACES / f'{name}.jsonl')


@when('it is replayed with the policy of "{setting}"')
def when_replayed(context, setting):
    context.outcome = Replay(context.trace, SETTINGS[setting][1]).run()


@then('the target is ejected within {seconds:g} s')
def then_ejected(context, seconds):
    assert context.outcome.ejections, context.outcome
    assert context.outcome.detection_s <= seconds, context.outcome


@then('the affected hosts stop using it within {seconds:g} s')
def then_avoided(context, seconds):
    assert context.outcome.detection_s is not None, context.outcome
    assert context.outcome.detection_s <= seconds, context.outcome


@then('at most {count:d} requests meet the fault')
def then_met(context, count):
    assert context.outcome.bad_requests <= count, context.outcome


@then('no other target is ejected')
def then_no_other(context):
    assert context.outcome.false_ejections == 0, context.outcome


@then('the ejections last {durations} s')
def then_durations(context, durations):
    expected = tuple(float(item) for item in durations.split(','))
    assert context.outcome.durations_s == expected, context.outcome
