package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

const scope = "github.com/auburnwinch/auburnwinch"

// Meter registers instruments and serves them to scrapers.
type Meter struct {
	provider *sdkmetric.MeterProvider
	meter    metric.Meter
	registry *prometheus.Registry
	err      error
}

// Reading returns the current value of an instrument.
type Reading func() int64

// DurationHistogram records durations in seconds.
type DurationHistogram struct {
	histogram metric.Float64Histogram
}

// LabelledCounter counts events by the values of its labels.
type LabelledCounter struct {
	counter metric.Int64Counter
	labels  []string
}

// New returns a meter with a registry of its own.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "create the metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Meter{provider: provider, meter: provider.Meter(scope), registry: registry}, nil
}

// Counter publishes a value that only grows.
func (m *Meter) Counter(name, description string, read Reading) {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithInt64Callback(observe(read)))
	m.keep(err)
}

// Gauge publishes a value that goes up and down.
func (m *Meter) Gauge(name, description string, read Reading) {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithInt64Callback(observe(read)))
	m.keep(err)
}

// Histogram returns an instrument for durations in seconds.
func (m *Meter) Histogram(name, description string) *DurationHistogram {
	h, err := m.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"))
	m.keep(err)
	return &DurationHistogram{histogram: h}
}

// LabelledCounter returns a counter with a label for each of the names; its values should be few.
func (m *Meter) LabelledCounter(name, description string, labels ...string) *LabelledCounter {
	c, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	m.keep(err)
	return &LabelledCounter{counter: c, labels: labels}
}

// Err returns the first error of a registration, for example a malformed name.
func (m *Meter) Err() error {
	return m.err
}

// Handler serves all instruments in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close stops the provider.
func (m *Meter) Close(ctx context.Context) error {
	return eris.Wrap(m.provider.Shutdown(ctx), "stop the metrics provider")
}

// Add counts one event; values stand in the order of the labels.
func (c *LabelledCounter) Add(values ...string) {
	attributes := make([]attribute.KeyValue, 0, len(c.labels))
	for i, label := range c.labels {
		attributes = append(attributes, attribute.String(label, values[i]))
	}
	c.counter.Add(context.Background(), 1, metric.WithAttributes(attributes...))
}

// Record adds one duration.
func (h *DurationHistogram) Record(d time.Duration) {
	h.histogram.Record(context.Background(), d.Seconds())
}

func (m *Meter) keep(err error) {
	if m.err == nil && err != nil {
		m.err = eris.Wrap(err, "register an instrument")
	}
}

func observe(read Reading) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(read())
		return nil
	}
}
