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

const instrumentationScope = "github.com/auburnwinch/auburnwinch"

// Meter registers instruments and serves them for scraping.
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

// New returns a meter with its own registry.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, eris.Wrap(err, "create the metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Meter{provider: provider, meter: provider.Meter(instrumentationScope), registry: registry}, nil
}

// Counter registers a value that only increases.
func (m *Meter) Counter(name, description string, read Reading) {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithInt64Callback(observe(read)))
	m.setErr(err)
}

// Gauge registers a value that can increase and decrease.
func (m *Meter) Gauge(name, description string, read Reading) {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithInt64Callback(observe(read)))
	m.setErr(err)
}

// Histogram returns an instrument for durations in seconds.
func (m *Meter) Histogram(name, description string) *DurationHistogram {
	h, err := m.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"))
	m.setErr(err)
	return &DurationHistogram{histogram: h}
}

// LabelledCounter returns a counter with the given labels; each label should have few distinct values.
func (m *Meter) LabelledCounter(name, description string, labels ...string) *LabelledCounter {
	c, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	m.setErr(err)
	return &LabelledCounter{counter: c, labels: labels}
}

// Err returns the first registration error, for example for a malformed name.
func (m *Meter) Err() error {
	return m.err
}

// Handler serves all instruments in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts the provider down.
func (m *Meter) Close(ctx context.Context) error {
	return eris.Wrap(m.provider.Shutdown(ctx), "shut down the metrics provider")
}

// Add counts one event; the values are in the order of the labels.
func (c *LabelledCounter) Add(values ...string) {
	c.AddN(1, values...)
}

// AddN counts n events or units; the values are in the order of the labels.
func (c *LabelledCounter) AddN(n int64, values ...string) {
	attributes := make([]attribute.KeyValue, 0, len(c.labels))
	for i, label := range c.labels {
		attributes = append(attributes, attribute.String(label, values[i]))
	}
	c.counter.Add(context.Background(), n, metric.WithAttributes(attributes...))
}

// Record adds one duration.
func (h *DurationHistogram) Record(d time.Duration) {
	h.histogram.Record(context.Background(), d.Seconds())
}

func (m *Meter) setErr(err error) {
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
