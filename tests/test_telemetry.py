"""Log lines and spans carry what an operator searches for."""

import asyncio
import logging

import pytest
from opentelemetry import trace
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from oleanderridge.telemetry.logs import KeyValueFormatter
from oleanderridge.telemetry.traces import (
    server_span,
    trace_headers,
    traced,
)

_PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def test_an_event_is_one_line_of_pairs():
    """Guards against line breaks and spaces that split an event."""
    formatter = KeyValueFormatter('%(levelname)s %(message)s')
    record = logging.makeLogRecord(
        {
            'levelname': 'INFO',
            'msg': 'bundle-refused',
            'detail': 'two words\nand "quotes"',
            'version': 7,
            'absent': None,
        }
    )
    assert formatter.format(record) == (
        'levelname=INFO message=bundle-refused '
        r'detail="two words\nand \"quotes\"" version=7'
    )


@pytest.fixture(scope='module')
def exporter():
    spans = InMemorySpanExporter()
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(spans))
    trace.set_tracer_provider(provider)
    return spans


def test_each_hop_is_a_span_of_the_callers_trace(exporter):
    """Guards against hops that start a trace of their own."""

    async def admit(workspace):
        return workspace, trace_headers()

    with server_span('request', {'traceparent': _PARENT}):
        workspace, headers = asyncio.run(traced('admit', admit)('mill'))
    hop, request = exporter.get_finished_spans()
    assert workspace == 'mill'
    assert [hop.name, request.name] == ['admit', 'request']
    assert hop.parent.span_id == request.context.span_id
    assert f'{hop.context.trace_id:032x}' == _PARENT.split('-')[1]
    assert f'{hop.context.span_id:016x}' in headers['traceparent']
