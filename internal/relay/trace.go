package relay

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// Tracer starts the span of one hop of a request. *telemetry.Tracer implements it.
type Tracer interface {
	Start(ctx context.Context, hop, requestID string) (context.Context, trace.Span)
}

// span starts a hop's span in the request's own trace. The journal contains the
// traceparent, and the hops on a VM that takes over join the same trace.
func (h *Hub) span(req *generation.Request, hop string, attrs ...attribute.KeyValue) trace.Span {
	if h.tracer == nil {
		return noop.Span{}
	}
	_, span := h.tracer.Start(telemetry.Extract(context.Background(), req.TraceID), hop, req.ID.Key)
	span.SetAttributes(attrs...)
	return span
}

// endSpan ends a span with the outcome of its hop.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
