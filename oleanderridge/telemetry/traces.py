"""Traces with a span for each hop of a request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from contextlib import AbstractContextManager
from functools import wraps
from typing import ParamSpec, TypeVar

from opentelemetry import trace
from opentelemetry.propagate import extract, inject
from opentelemetry.trace import Span

from oleanderridge.generated.settings import Settings

_TRACER_NAME = 'oleanderridge'
_Params = ParamSpec('_Params')
_ResultT = TypeVar('_ResultT')


def configure_tracing(settings: Settings) -> None:
    """Export spans to the collector in the settings, if there is one.

    Parameters
    ----------
    settings : Settings
        ``telemetry.otlp_url`` names the collector; absent means no export.
    """
    url = settings['telemetry'].get('otlp_url')
    if not url:
        return
    # Imported here: the exporter doubles the memory of a host without one.
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
        OTLPSpanExporter,
    )
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import (
        BatchSpanProcessor,
    )

    resource = Resource.create(
        {
            'service.name': _TRACER_NAME,
            'host.name': settings['host'],
            'cloud.availability_zone': settings['zone'],
        }
    )
    provider = TracerProvider(resource=resource)
    provider.add_span_processor(
        BatchSpanProcessor(OTLPSpanExporter(endpoint=url)),
    )
    trace.set_tracer_provider(provider)


def server_span(
    name: str,
    headers: Mapping[str, str],
) -> AbstractContextManager[Span]:
    """Return a span that continues the caller's trace.

    Parameters
    ----------
    name : str
        Span name.
    headers : Mapping
        Request headers with lower-case names.

    Returns
    -------
    context manager of Span
        The span, current while the context is entered.
    """
    return trace.get_tracer(_TRACER_NAME).start_as_current_span(
        name,
        context=extract(headers),
        kind=trace.SpanKind.SERVER,
    )


def hop_span(name: str, **attributes: str) -> AbstractContextManager[Span]:
    """Return a span for one hop inside the current trace.

    Parameters
    ----------
    name : str
        Span name.
    **attributes
        Attribute values by name.

    Returns
    -------
    context manager of Span
        The span, current while the context is entered.
    """
    return trace.get_tracer(_TRACER_NAME).start_as_current_span(
        name,
        attributes=attributes,
        kind=trace.SpanKind.CLIENT,
    )


def traced(
    name: str,
    hop: Callable[_Params, Awaitable[_ResultT]],
) -> Callable[_Params, Awaitable[_ResultT]]:
    """Return a coroutine function that runs inside a span.

    Parameters
    ----------
    name : str
        Span name.
    hop : callable
        Coroutine function of one hop.

    Returns
    -------
    callable
        Takes and returns what ``hop`` does.
    """

    @wraps(hop)
    async def wrapper(
        *args: _Params.args,
        **kwargs: _Params.kwargs,
    ) -> _ResultT:
        with hop_span(name):
            return await hop(*args, **kwargs)

    return wrapper


def trace_headers() -> dict[str, str]:
    """Return the headers that carry the current trace to a target.

    Returns
    -------
    dict
        Values by header name; empty outside a trace.
    """
    carrier: dict[str, str] = {}
    inject(carrier)
    return carrier
