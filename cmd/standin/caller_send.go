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

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxViolations bounds the violations that are reported in words.
	maxViolations = 20
	// outcomeNone stands for answers without an outcome and for requests without an answer.
	outcomeNone = "none"
	resendDelay = 500 * time.Millisecond
)

// caller sends requests in an open loop.
type caller struct {
	config  *callerCmd
	client  *http.Client
	prefix  string
	pending atomic.Int64
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	// outcomes holds the last outcome of each request.
	outcomes   map[string]string
	counts     map[string]int
	statuses   map[int]int
	skipped    int
	broken     int
	violations []string
	violated   int
}

// callerReport is the result of a run.
type callerReport struct {
	Requests       int            `json:"requests"`
	Skipped        int            `json:"skipped"`
	Broken         int            `json:"broken"`
	Outcomes       map[string]int `json:"outcomes"`
	Statuses       map[int]int    `json:"statuses"`
	P50            string         `json:"p50"`
	P99            string         `json:"p99"`
	P999           string         `json:"p99.9"`
	Max            string         `json:"max"`
	ViolationCount int            `json:"violation-count"`
	Violations     []string       `json:"violations"`
}

func newCaller(c *callerCmd) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: c.MaxPending, DisableCompression: true}
	return &caller{
		config: c, client: &http.Client{Transport: transport, Timeout: c.Timeout + time.Second},
		prefix:   fmt.Sprintf("%x", time.Now().UnixNano()),
		latency:  hdrhistogram.New(int64(time.Microsecond), int64(10*time.Minute), 3),
		outcomes: make(map[string]string), counts: make(map[string]int), statuses: make(map[int]int),
	}
}

// run sends until the duration is over or the context ends, and waits for the answers.
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

// request sends one request, and once more with its key when the outcome is unknown.
func (c *caller) request(ctx context.Context, i int, due time.Time) {
	id := fmt.Sprintf("%s-%d", c.prefix, i)
	outcome := c.send(ctx, c.config.Edge[i%len(c.config.Edge)], id)
	if outcome == string(model.OutcomeUnknown) && c.config.Key && ctx.Err() == nil {
		time.Sleep(resendDelay)
		outcome = c.send(ctx, c.config.Edge[(i+1)%len(c.config.Edge)], id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[id] = outcome
	c.counts[outcome]++
	_ = c.latency.RecordValue(int64(time.Since(due)))
}

// send returns the outcome of one send.
func (c *caller) send(ctx context.Context, edge, id string) string {
	body := []byte(strings.Repeat(id[len(id)-1:], c.config.Body))
	uri := c.config.Path
	if c.config.Bytes >= 0 {
		uri += fmt.Sprintf("?bytes=%d", c.config.Bytes)
	}
	request, err := http.NewRequestWithContext(ctx, c.config.Method, "http://"+edge+uri, bytes.NewReader(body))
	if err != nil {
		c.violate("the request can't be built: " + err.Error())
		return outcomeNone
	}
	request.Host = c.config.Host
	request.Header.Set(headerRequest, id)
	request.Header.Set(model.HeaderTimeout, c.config.Timeout.String())
	if c.config.Account != "" {
		request.Header.Set(model.HeaderAccount, c.config.Account)
	}
	if c.config.Key {
		request.Header.Set(model.HeaderIdempotencyKey, id)
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.countBroken()
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
		c.violate(fmt.Sprintf("request %s: the answer has no outcome", id))
		return outcomeNone
	}
	if outcome != string(model.OutcomeDone) || response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return outcome
	}
	var err error
	if c.config.Bytes >= 0 {
		err = checkPattern(response.Body, c.config.Bytes)
	} else {
		err = checkAnswer(response.Body, id, sent)
	}
	var wrong wrongAnswer
	switch {
	case errors.As(err, &wrong):
		c.violate(fmt.Sprintf("request %s: %s", id, wrong))
	case err != nil:
		c.countBroken()
		return outcomeNone
	}
	return outcome
}

// wrongAnswer is an answer that arrived whole and isn't the one to the request.
type wrongAnswer string

// Error says what is wrong.
func (w wrongAnswer) Error() string {
	return string(w)
}

func checkAnswer(body io.Reader, id string, sent []byte) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var a workAnswer
	if err := json.Unmarshal(content, &a); err != nil {
		return wrongAnswer("the answer is not whole: " + err.Error())
	}
	if a.Request != id || a.Length != int64(len(sent)) || a.Checksum != crc32.Checksum(sent, crc32.MakeTable(crc32.Castagnoli)) {
		return wrongAnswer(fmt.Sprintf("the answer belongs to request %s with %d bytes", a.Request, a.Length))
	}
	return nil
}

// checkPattern reads a download and compares it with the pattern of the targets.
func checkPattern(body io.Reader, size int64) error {
	wanted := &pattern{size: size}
	var got, want [blockBytes]byte
	for offset := int64(0); ; {
		n, err := body.Read(got[:])
		_, _ = io.ReadFull(wanted, want[:n])
		if !bytes.Equal(got[:n], want[:n]) {
			return wrongAnswer(fmt.Sprintf("the download differs after byte %d", offset))
		}
		offset += int64(n)
		switch {
		case errors.Is(err, io.EOF) && offset != size:
			return wrongAnswer(fmt.Sprintf("the download ended as complete after %d of %d bytes", offset, size))
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func (c *caller) countBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
}

func (c *caller) violate(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, text)
	}
}

func (c *caller) report() callerReport {
	quantile := func(q float64) string { return time.Duration(c.latency.ValueAtQuantile(q)).String() }
	return callerReport{
		Requests: len(c.outcomes), Skipped: c.skipped, Broken: c.broken, Outcomes: c.counts, Statuses: c.statuses,
		P50: quantile(50), P99: quantile(99), P999: quantile(99.9), Max: time.Duration(c.latency.Max()).String(),
		ViolationCount: c.violated, Violations: c.violations,
	}
}
