// Package telemetry sets up the logs (zerolog), metrics (expvar) and traces
// (OpenTelemetry) of one process.
package telemetry

import (
	"context"
	"crypto/sha256"
	"expvar"
	"io"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/zeebo/errs"
)

// Milliseconds are needed to order the log lines of several VMs by time.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// Error is the class of this package's errors.
var Error = errs.Class("telemetry")

// Logger returns a logger that writes to w: as text if format is "console", else as JSON.
func Logger(w io.Writer, level, format, vm string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), Error.New("log level %q: %w", level, err)
	}
	if format == "console" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("vm", vm).Logger(), nil
}

// Tracer starts spans that carry the id of their request.
type Tracer struct {
	provider *trace.TracerProvider
	tracer   oteltrace.Tracer
	close    func() error
}

// NewTracer returns a Tracer that appends spans to a file. With an empty path it exports
// nothing, but spans still have ids for propagation.
func NewTracer(vm, path string) (*Tracer, error) {
	options := []trace.TracerProviderOption{}
	closeFile := func() error { return nil }
	if path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, Error.New("trace file: %w", err)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, err
		}
		options = append(options, trace.WithBatcher(exporter))
		closeFile = f.Close
	}
	provider := trace.NewTracerProvider(options...)
	return &Tracer{provider: provider, tracer: provider.Tracer("amaranthshelf/" + vm), close: closeFile}, nil
}

// Start starts the span of one hop of a request.
func (t *Tracer) Start(ctx context.Context, hop, requestID string) (context.Context, oteltrace.Span) {
	return t.tracer.Start(ctx, hop, oteltrace.WithAttributes(attribute.String("request.id", requestID)))
}

// Close writes the buffered spans and closes the file.
func (t *Tracer) Close(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return err
	}
	return t.close()
}

var propagator propagation.TraceContext

// Inject returns the traceparent header of the span in ctx.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// Extract returns ctx with the remote span of a traceparent header.
func Extract(ctx context.Context, traceparent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}

// ForRequest returns ctx with a trace id that depends only on the seed. A caller may
// reconnect to a VM that has no state of the first connection, and must stay in the same
// trace.
func ForRequest(ctx context.Context, seed string) context.Context {
	sum := sha256.Sum256([]byte(seed))
	return oteltrace.ContextWithRemoteSpanContext(ctx, oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
		TraceID: oteltrace.TraceID(sum[:16]), SpanID: oteltrace.SpanID(sum[16:24]), TraceFlags: oteltrace.FlagsSampled, Remote: true,
	}))
}

var publishMu sync.Mutex

// Metrics returns the expvar map of a VM. The first call for a VM publishes it, and later
// calls return the same map.
func Metrics(vm string) *expvar.Map {
	publishMu.Lock()
	defer publishMu.Unlock()
	name := "amaranthshelf." + vm
	if v, ok := expvar.Get(name).(*expvar.Map); ok {
		return v
	}
	return expvar.NewMap(name)
}
