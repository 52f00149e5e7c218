package daemon

import (
	"context"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// traceProvider creates the spans of this node and exports them to the log at level debug.
type traceProvider struct{ *trace.TracerProvider }

func newTraceProvider(log logrus.FieldLogger, node string) *traceProvider {
	return &traceProvider{trace.NewTracerProvider(
		trace.WithBatcher(&logExporter{log: log}),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", node))),
	)}
}

// logExporter is a span exporter that writes one log line for each span.
type logExporter struct{ log logrus.FieldLogger }

// ExportSpans implements trace.SpanExporter.
func (e *logExporter) ExportSpans(_ context.Context, spans []trace.ReadOnlySpan) error {
	for _, s := range spans {
		e.log.Debugf("trace: %s trace=%s span=%s parent=%s status=%s took=%s", s.Name(), s.SpanContext().TraceID(),
			s.SpanContext().SpanID(), s.Parent().SpanID(), s.Status().Code, s.EndTime().Sub(s.StartTime()))
	}
	return nil
}

// Shutdown implements trace.SpanExporter.
func (e *logExporter) Shutdown(context.Context) error { return nil }
