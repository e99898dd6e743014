// Package telemetry sets up logs (zerolog), metrics (expvar) and traces
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

// Lines of several VMs are put in order by their time, to the millisecond.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// Error is the class of this package's errors.
var Error = errs.Class("telemetry")

// Logger returns a logger that writes to w as JSON, or for people to read.
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

// Tracer starts spans; each carries the request id it belongs to.
type Tracer struct {
	provider *trace.TracerProvider
	tracer   oteltrace.Tracer
	close    func() error
}

// NewTracer returns a Tracer that writes to a file; an empty path keeps the
// spans' ids for propagation and exports nothing.
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

// Start begins the span of one hop.
func (t *Tracer) Start(ctx context.Context, hop, requestID string) (context.Context, oteltrace.Span) {
	return t.tracer.Start(ctx, hop, oteltrace.WithAttributes(attribute.String("request.id", requestID)))
}

// Close writes what is left.
func (t *Tracer) Close(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return err
	}
	return t.close()
}

var propagator propagation.TraceContext

// Inject returns the traceparent of ctx's span.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// Extract returns ctx with the remote span of a traceparent.
func Extract(ctx context.Context, traceparent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}

// ForRequest returns ctx with a trace that depends on the seed alone, so that a
// caller who reconnects to another VM, which knows nothing of the first
// connection, goes on in the same trace.
func ForRequest(ctx context.Context, seed string) context.Context {
	sum := sha256.Sum256([]byte(seed))
	return oteltrace.ContextWithRemoteSpanContext(ctx, oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
		TraceID: oteltrace.TraceID(sum[:16]), SpanID: oteltrace.SpanID(sum[16:24]), TraceFlags: oteltrace.FlagsSampled, Remote: true,
	}))
}

var publishMu sync.Mutex

// Metrics returns the expvar map of a VM, published once a process.
func Metrics(vm string) *expvar.Map {
	publishMu.Lock()
	defer publishMu.Unlock()
	name := "amaranthshelf." + vm
	if v, ok := expvar.Get(name).(*expvar.Map); ok {
		return v
	}
	return expvar.NewMap(name)
}
