"""Steps that test the decoding of messages between hosts."""

from behave import given, then, when

from oleanderridge.wire import decode, encode


@given('a heartbeat without its stamp')
def given_heartbeat_without_stamp(context):
    context.payload = encode({'kind': 'heartbeat', 'host': 'host-a'})


@when('the receiving host decodes it')
def when_host_decodes_message(context):
    context.decoded = decode(context.payload)


@then('the error names "{kind}" and "{field}"')
def then_error_names_kind_and_field(context, kind, field):
    error = context.decoded.unwrap_err()
    assert kind in error, error
    assert field in error or 'missing required field' in error, error
