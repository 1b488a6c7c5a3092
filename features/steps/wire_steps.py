"""Steps for decoding of peer messages."""

from behave import given, then, when

from oleanderridge.wire import decode, encode


@given('a heartbeat without its stamp')
def given_heartbeat(context):
    context.payload = encode({'kind': 'heartbeat', 'host': 'host-a'})


@when('the receiving host decodes it')
def when_decoded(context):
    context.decoded = decode(context.payload)


@then('the error names "{kind}" and "{field}"')
def then_error_names(context, kind, field):
    error = context.decoded.unwrap_err()
    assert kind in error, error
    assert field in error or 'missing required field' in error, error
