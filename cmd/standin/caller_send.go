package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/auburnwinch/auburnwinch/internal/syntax"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxViolations limits how many violations the report describes; ViolationCount counts all.
	maxViolations = 20
	// outcomeNone counts responses without an outcome and requests without a response.
	outcomeNone = "none"
	retryDelay  = 500 * time.Millisecond
)

// caller is an open-loop load generator.
type caller struct {
	config  *callerCmd
	client  *http.Client
	prefix  string
	pending atomic.Int64
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	// outcomes holds the last outcome of each request.
	outcomes        map[string]string
	counts          map[string]int
	statuses        map[int]int
	skipped         int
	transportErrors int
	violations      []string
	violationCount  int
}

// callerReport is the result of a run.
type callerReport struct {
	Requests        int            `json:"requests"`
	Skipped         int            `json:"skipped"`
	TransportErrors int            `json:"broken"`
	Outcomes        map[string]int `json:"outcomes"`
	Statuses        map[int]int    `json:"statuses"`
	P50             string         `json:"p50"`
	P99             string         `json:"p99"`
	P999            string         `json:"p99.9"`
	Max             string         `json:"max"`
	ViolationCount  int            `json:"violation-count"`
	Violations      []string       `json:"violations"`
}

func newCaller(c *callerCmd) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: c.MaxPending, DisableCompression: true}
	return &caller{
		config: c, client: &http.Client{Transport: syntax.Transport{RoundTripper: transport}, Timeout: c.Timeout + time.Second},
		prefix:   fmt.Sprintf("%x", time.Now().UnixNano()),
		latency:  hdrhistogram.New(int64(time.Microsecond), int64(10*time.Minute), 3),
		outcomes: make(map[string]string), counts: make(map[string]int), statuses: make(map[int]int),
	}
}

// run sends requests for the configured duration or until the context is done, and then waits for the responses.
func (c *caller) run(ctx context.Context) {
	begin := time.Now()
	interval := time.Duration(float64(time.Second) / c.config.Rate)
	var group sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		due := begin.Add(time.Duration(i) * interval)
		if due.Sub(begin) > c.config.Duration {
			break
		}
		time.Sleep(time.Until(due))
		if c.pending.Load() >= int64(c.config.MaxPending) {
			c.skipped++
			continue
		}
		c.pending.Add(1)
		group.Go(func() {
			defer c.pending.Add(-1)
			c.request(ctx, i, due)
		})
	}
	group.Wait()
}

// request sends one request and, if the outcome is unknown, retries it once with the same idempotency key.
func (c *caller) request(ctx context.Context, i int, due time.Time) {
	id := fmt.Sprintf("%s-%d", c.prefix, i)
	outcome := c.send(ctx, c.config.Edge[i%len(c.config.Edge)], id)
	if outcome == string(model.OutcomeUnknown) && c.config.Key && ctx.Err() == nil {
		time.Sleep(retryDelay)
		outcome = c.send(ctx, c.config.Edge[(i+1)%len(c.config.Edge)], id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[id] = outcome
	c.counts[outcome]++
	_ = c.latency.RecordValue(int64(time.Since(due)))
}

// send performs one attempt and returns its outcome.
func (c *caller) send(ctx context.Context, edge, id string) string {
	body := []byte(strings.Repeat(id[len(id)-1:], c.config.Body))
	uri := c.config.Path
	if c.config.Bytes >= 0 {
		uri += fmt.Sprintf("?bytes=%d", c.config.Bytes)
	}
	request, err := http.NewRequestWithContext(ctx, c.config.Method, "http://"+edge+uri, bytes.NewReader(body))
	if err != nil {
		c.addViolation("can't build request: " + err.Error())
		return outcomeNone
	}
	request.Host = c.config.Host
	request.Header.Set(headerRequestID, id)
	request.Header.Set(model.HeaderTimeout, c.config.Timeout.String())
	if c.config.Account != "" {
		request.Header.Set(model.HeaderAccount, c.config.Account)
	}
	if c.config.Key {
		request.Header.Set(model.HeaderIdempotencyKey, id)
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.countTransportError()
		return outcomeNone
	}
	defer response.Body.Close()
	return c.check(response, id, body)
}

func (c *caller) check(response *http.Response, id string, sent []byte) string {
	c.mu.Lock()
	c.statuses[response.StatusCode]++
	c.mu.Unlock()
	outcome := response.Header.Get(model.HeaderOutcome)
	if outcome == "" {
		c.addViolation(fmt.Sprintf("request %s: response has no outcome", id))
		return outcomeNone
	}
	if outcome != string(model.OutcomeDone) || response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return outcome
	}
	var err error
	if c.config.Bytes >= 0 {
		err = checkDownload(response.Body, c.config.Bytes)
	} else {
		err = checkResponse(response.Body, id, sent)
	}
	var mismatch responseMismatch
	switch {
	case errors.As(err, &mismatch):
		c.addViolation(fmt.Sprintf("request %s: %s", id, mismatch))
	case err != nil:
		c.countTransportError()
		return outcomeNone
	}
	return outcome
}

// responseMismatch reports a complete response that does not belong to the request.
type responseMismatch string

// Error implements the error interface.
func (m responseMismatch) Error() string {
	return string(m)
}

func checkResponse(body io.Reader, id string, sent []byte) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var a workResponse
	if err := json.Unmarshal(content, &a); err != nil {
		return responseMismatch("response body is incomplete: " + err.Error())
	}
	if a.Request != id || a.Length != int64(len(sent)) || a.Checksum != crc32.Checksum(sent, crc32.MakeTable(crc32.Castagnoli)) {
		return responseMismatch(fmt.Sprintf("response belongs to request %s with %d bytes", a.Request, a.Length))
	}
	return nil
}

// checkDownload compares a download with the byte pattern that targets serve.
func checkDownload(body io.Reader, size int64) error {
	reference := &pattern{size: size}
	var got, want [blockSize]byte
	for offset := int64(0); ; {
		n, err := body.Read(got[:])
		_, _ = io.ReadFull(reference, want[:n])
		if !bytes.Equal(got[:n], want[:n]) {
			return responseMismatch(fmt.Sprintf("download differs after byte %d", offset))
		}
		offset += int64(n)
		switch {
		case errors.Is(err, io.EOF) && offset != size:
			return responseMismatch(fmt.Sprintf("download ended without an error after %d of %d bytes", offset, size))
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func (c *caller) countTransportError() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transportErrors++
}

func (c *caller) addViolation(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violationCount++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, text)
	}
}

func (c *caller) report() callerReport {
	quantile := func(q float64) string { return time.Duration(c.latency.ValueAtQuantile(q)).String() }
	return callerReport{
		Requests: len(c.outcomes), Skipped: c.skipped, TransportErrors: c.transportErrors, Outcomes: c.counts, Statuses: c.statuses,
		P50: quantile(50), P99: quantile(99), P999: quantile(99.9), Max: time.Duration(c.latency.Max()).String(),
		ViolationCount: c.violationCount, Violations: c.violations,
	}
}
