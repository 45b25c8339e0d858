package meter

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against registered instruments that are missing from the scrape.
func TestScrapeContainsInstruments(t *testing.T) {
	m, err := New()
	require.NoError(t, err)
	m.Counter("auburnwinch.edge.retries", "retries sent by the edge", func() int64 { return 5 })
	m.Gauge("auburnwinch.agent.in-flight", "requests in flight", func() int64 { return 2 })
	m.Histogram("auburnwinch.eject.detection", "time to an ejection").Record(time.Second)
	answers := m.LabelledCounter("auburnwinch.edge.answers", "answers", "service", "outcome")
	answers.Add("kassa", "done")
	answers.Add("kassa", "done")
	answers.Add("kassa", "not-run")
	require.NoError(t, m.Err())
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, recorder.Body.String(), "auburnwinch_edge_retries_total")
	require.Regexp(t, `auburnwinch_edge_answers_total\{.*outcome="done",service="kassa"\} 2`, recorder.Body.String())
	require.Contains(t, recorder.Body.String(), "auburnwinch_eject_detection_seconds_sum")
}
