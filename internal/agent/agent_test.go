package agent_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const secret = "fleet secret of the tests"

// fixture is an agent under test and a relay listener through which the tests, in the role of an edge, send it
// requests.
type fixture struct {
	t     *testing.T
	agent *agent.Agent
	relay *httptest.Server
}

func newFixture(t *testing.T, c agent.Config) *fixture {
	c.Secret = []byte(secret)
	a, err := agent.New(c)
	require.NoError(t, err)
	f := &fixture{t: t, agent: a, relay: httptest.NewServer(a)}
	t.Cleanup(func() {
		f.relay.CloseClientConnections()
		f.relay.Close()
		require.NoError(t, a.Close())
	})
	return f
}

func (f *fixture) local(path, body string) (int, string) {
	recorder := httptest.NewRecorder()
	f.agent.LocalHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

func (f *fixture) announce(handler http.Handler) *httptest.Server {
	target := httptest.NewServer(handler)
	f.t.Cleanup(target.Close)
	status, body := f.local("/v1/announce", announcementOf(target.Listener.Addr().String(), 1))
	require.Equal(f.t, http.StatusNoContent, status, body)
	return target
}

func announcementOf(address string, incarnation int) string {
	return `{"service":"shop","id":"t1","incarnation":` + strconv.Itoa(incarnation) + `,"address":"` + address + `","slots":2}`
}

// Guards against an agent whose process was paused (by SIGSTOP or with its VM) and that, once resumed, immediately runs
// requests that it received during the pause. Edges have abandoned these, and the agent has not yet learned which
// requests crashed targets of other nodes meanwhile.
func TestResumedAgentRefuses(t *testing.T) {
	clock := timer.NewManual(time.Now())
	b := newFixture(t, agent.Config{Clock: clock})
	var runs atomic.Int64
	b.announce(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	send := func() (reason, outcome string) {
		response, err := http.DefaultClient.Do(b.relayed(t.Context(), ""))
		require.NoError(t, err)
		defer response.Body.Close()
		return response.Header.Get(model.HeaderReason), response.Header.Get(model.HeaderOutcome)
	}
	reason, _ := send()
	require.Empty(t, reason)
	clock.Advance(3 * time.Second)
	for range 2 {
		reason, outcome := send()
		require.Equal(t, relay.ReasonResumed, reason)
		require.Equal(t, string(model.OutcomeNotRun), outcome)
	}
	require.EqualValues(t, 1, runs.Load())
	clock.Advance(300 * time.Millisecond)
	reason, _ = send()
	require.Empty(t, reason)
	require.EqualValues(t, 2, runs.Load())
}

// relayed returns a signed request to target t1 of incarnation 1.
func (f *fixture) relayed(ctx context.Context, key string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.relay.URL+"/orders/1", nil)
	require.NoError(f.t, err)
	request.Header.Set(model.HeaderExchange, "nonce")
	request.Header.Set(model.HeaderTarget, "shop/t1/1")
	request.Header.Set(model.HeaderKey, key)
	request.Header.Set(model.HeaderFingerprint, "ab")
	request.Header.Set(model.HeaderSignature, relay.NewSigner([]byte(secret), nil).Sign(relay.SignedFields{
		Exchange: "nonce", Method: http.MethodGet, URI: "/orders/1", Target: "shop/t1/1", Key: key,
	}))
	return request
}

func (f *fixture) do(request *http.Request) (*http.Response, string) {
	response, err := f.relay.Client().Do(request)
	require.NoError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response, string(body)
}

// Guards against announcements that change the targets although they are invalid, stale or of unknown services.
func TestBadAnnouncements(t *testing.T) {
	cell := &view.Holder{}
	cell.Store(view.New(view.Config{Configuration: &model.Configuration{Services: []model.ServiceSpec{{Name: "shop"}}}}))
	var published atomic.Int64
	b := newFixture(t, agent.Config{View: cell, OnTargets: func([]model.Target) { published.Add(1) }})
	status, _ := b.local("/v1/announce", announcementOf("127.0.0.1:1", 5))
	require.Equal(t, http.StatusNoContent, status)
	cases := map[string]struct {
		path, body string
		status     int
	}{
		"stale":           {"/v1/announce", announcementOf("127.0.0.1:1", 4), 409},
		"no JSON":         {"/v1/announce", `{"service":`, 400},
		"two values":      {"/v1/announce", announcementOf("127.0.0.1:1", 6) + "{}", 400},
		"unknown field":   {"/v1/announce", `{"service":"shop","id":"t1","port":1}`, 400},
		"no slots":        {"/v1/announce", `{"service":"shop","id":"t2","incarnation":1,"address":"127.0.0.1:1"}`, 400},
		"no incarnation":  {"/v1/announce", `{"service":"shop","id":"t2","slots":1,"address":"127.0.0.1:1"}`, 400},
		"no port":         {"/v1/announce", `{"service":"shop","id":"t2","incarnation":1,"slots":1,"address":"a"}`, 400},
		"slash in ID":     {"/v1/announce", `{"service":"shop","id":"t/2","incarnation":1,"slots":1,"address":"a:1"}`, 400},
		"large":           {"/v1/announce", `{"service":"` + strings.Repeat("x", 8<<10) + `"}`, 400},
		"unknown service": {"/v1/announce", `{"service":"none","id":"t2","incarnation":1,"slots":1,"address":"a:1"}`, 404},
		"drain unknown":   {"/v1/drain", `{"service":"shop","id":"t2"}`, 404},
		"withdraw":        {"/v1/withdraw", `{"service":"shop","id":"t2"}`, 404},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, body := b.local(c.path, c.body)
			require.Equal(t, c.status, status, body)
			require.Contains(t, body, `"remedy":"`)
		})
	}
	require.Len(t, b.agent.Targets(), 1)
	require.Equal(t, uint64(5), b.agent.Targets()[0].Ref.Incarnation)
	require.Equal(t, int64(1), published.Load())
}

// Guards against targets that stay after their announcements stop, and against expiry of live targets.
func TestTargetsExpire(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	b := newFixture(t, agent.Config{Clock: clock})
	status, _ := b.local("/v1/announce", announcementOf("127.0.0.1:1", 1))
	require.Equal(t, http.StatusNoContent, status)
	for range 5 {
		clock.Advance(time.Second)
	}
	require.Len(t, b.agent.Targets(), 1)
	require.Eventually(t, func() bool { clock.Advance(time.Second); return len(b.agent.Targets()) == 0 }, time.Second, time.Millisecond)
}

// Guards against running requests that lack a valid signature of an edge of the fleet, that are malformed or past their
// deadline, or that arrive while the agent is leaving, and against refusals that do not say that the request did not
// run.
func TestRefusals(t *testing.T) {
	var runs atomic.Int64
	b := newFixture(t, agent.Config{})
	b.announce(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	cases := map[string]struct {
		change func(r *http.Request)
		reason string
	}{
		"method":  {func(r *http.Request) { r.Method = http.MethodPost }, relay.ReasonSignature},
		"target":  {func(r *http.Request) { r.Header.Set(model.HeaderTarget, "shop/t2/1") }, relay.ReasonSignature},
		"key":     {func(r *http.Request) { r.Header.Set(model.HeaderKey, "other") }, relay.ReasonSignature},
		"none":    {func(r *http.Request) { r.Header.Del(model.HeaderSignature) }, relay.ReasonSignature},
		"timeout": {func(r *http.Request) { r.Header.Set(model.HeaderTimeout, "x") }, relay.ReasonBadRequest},
		"late":    {func(r *http.Request) { r.Header.Set(model.HeaderTimeout, "-1s") }, relay.ReasonDeadline},
		"leaving": {func(*http.Request) { b.agent.SetLeaving(true) }, relay.ReasonLeaving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			defer b.agent.SetLeaving(false)
			request := b.relayed(t.Context(), "")
			c.change(request)
			response, _ := b.do(request)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, c.reason, response.Header.Get(model.HeaderReason))
			require.Equal(t, string(model.OutcomeNotRun), response.Header.Get(model.HeaderOutcome))
			require.Equal(t, "nonce", response.Header.Get(model.HeaderExchange))
		})
	}
	require.Zero(t, runs.Load())
}

// Guards against a slow request without interim responses, whose connection the edge would consider dead, and against
// slots that are not freed when a request ends.
func TestInterimAnswersAndSlots(t *testing.T) {
	b := newFixture(t, agent.Config{InterimInterval: 50 * time.Millisecond})
	b.announce(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) }))
	var interim atomic.Int64
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			require.Equal(t, http.StatusProcessing, code)
			interim.Add(1)
			return nil
		},
	})
	for range 3 {
		response, _ := b.do(b.relayed(ctx, ""))
		require.Equal(t, 200, response.StatusCode)
		require.Equal(t, "1/2", response.Header.Get(model.HeaderLoad))
	}
	require.GreaterOrEqual(t, interim.Load(), int64(9))
}

// fakes is a key ledger, a poison detector and a tracker that record their calls.
type fakes struct {
	mu       sync.Mutex
	keys     map[string]string
	suspects []agent.Suspect
	results  []agent.ResultKind
	verdict  agent.PoisonVerdict
	trial    agent.TrialVerdict
	trials   []bool
}

func (f *fakes) Admit(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, seen := f.keys[key]; seen {
		return false
	}
	if f.keys == nil {
		f.keys = make(map[string]string)
	}
	f.keys[key] = "running"
	return true
}

func (f *fakes) Finish(key string, a *agent.StoredResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys[key] = "done:" + string(a.Body)
}

func (f *fakes) Release(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.keys, key)
}

func (f *fakes) Fail(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys[key] = "failed"
}

func (f *fakes) Verdict(string, uint64) agent.PoisonVerdict { return f.verdict }

func (f *fakes) Trial(context.Context, agent.Suspect) agent.TrialVerdict { return f.trial }

func (f *fakes) EndTrial(_ agent.Suspect, survived bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trials = append(f.trials, survived)
}

func (f *fakes) Crashed(_ model.TargetRef, s agent.Suspect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects = append(f.suspects, s)
}

func (f *fakes) Start(agent.TrackRequest) agent.Handle { return handle{f} }

// handle tracks one request.
type handle struct{ fakes *fakes }

func (h handle) Progress() {}

func (h handle) Finish(r agent.Result) {
	h.fakes.mu.Lock()
	defer h.fakes.mu.Unlock()
	h.fakes.results = append(h.fakes.results, r.Kind)
}

// Guards against running two requests with the same key at one agent, against not storing the response for a repeated
// request, and against passing the target the key of the attempt instead of the idempotency key of the caller.
func TestKeyLedger(t *testing.T) {
	f := &fakes{}
	b := newFixture(t, agent.Config{KeyLedger: f, Tracker: f})
	b.announce(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "key "+r.Header.Get(model.HeaderIdempotencyKey))
	}))
	first := b.relayed(t.Context(), "k")
	first.Header.Set(model.HeaderIdempotencyKey, "order-7")
	response, body := b.do(first)
	require.Equal(t, "key order-7", body)
	require.Equal(t, string(model.OutcomeDone), response.Header.Get(model.HeaderOutcome))
	response, _ = b.do(b.relayed(t.Context(), "k"))
	require.Equal(t, relay.ReasonKeySeen, response.Header.Get(model.HeaderReason))
	require.Equal(t, string(model.OutcomeUnknown), response.Header.Get(model.HeaderOutcome))
	require.Equal(t, "done:key order-7", f.keys["k"])
	require.Equal(t, []agent.ResultKind{agent.ResultOK}, f.results)
}

// Guards against a key that stays recorded as used although the request did not reach its target, so that the request
// could not be repeated.
func TestUnreachableTargetReleasesKey(t *testing.T) {
	f := &fakes{}
	b := newFixture(t, agent.Config{KeyLedger: f})
	b.announce(http.NotFoundHandler()).Close()
	response, _ := b.do(b.relayed(t.Context(), "k"))
	require.Equal(t, relay.ReasonUnreachable, response.Header.Get(model.HeaderReason))
	require.Equal(t, string(model.OutcomeNotRun), response.Header.Get(model.HeaderOutcome))
	require.Empty(t, f.keys)
	require.Empty(t, b.agent.Targets(), "a target that refuses connections must be removed")
}

// Guards against a crash that is not reported to the poison detector and the tracker, against a connection reset by a
// live target that counts as a crash, and against running a quarantined request.
func TestCrashMakesRequestsSuspect(t *testing.T) {
	f := &fakes{}
	b := newFixture(t, agent.Config{PoisonDetector: f, Tracker: f})
	var crash atomic.Bool
	var target *httptest.Server
	target = b.announce(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if crash.Load() {
			_ = target.Listener.Close()
		}
		conn, _, _ := http.NewResponseController(w).Hijack()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}))
	response, _ := b.do(b.relayed(t.Context(), ""))
	require.Equal(t, relay.ReasonBroken, response.Header.Get(model.HeaderReason))
	require.Empty(t, f.suspects)
	crash.Store(true)
	response, _ = b.do(b.relayed(t.Context(), ""))
	require.Equal(t, relay.ReasonCrashed, response.Header.Get(model.HeaderReason))
	require.Equal(t, []agent.Suspect{{Service: "shop", Fingerprint: 0xab}}, f.suspects)
	require.Equal(t, []agent.ResultKind{agent.ResultReset, agent.ResultCrashed}, f.results)
	f.verdict = agent.PoisonQuarantined
	b.announce(http.NotFoundHandler())
	response, _ = b.do(b.relayed(t.Context(), ""))
	require.Equal(t, relay.ReasonPoison, response.Header.Get(model.HeaderReason))
}

// Guards against a suspect request that runs without a granted trial, and against lost trial results.
func TestSuspectNeedsTrial(t *testing.T) {
	f := &fakes{verdict: agent.PoisonSuspect}
	b := newFixture(t, agent.Config{PoisonDetector: f})
	var runs atomic.Int64
	b.announce(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		require.True(t, b.agent.IsRunning(0xab))
	}))
	response, _ := b.do(b.relayed(t.Context(), ""))
	require.Equal(t, relay.ReasonSuspect, response.Header.Get(model.HeaderReason))
	f.trial = agent.TrialQuarantined
	response, _ = b.do(b.relayed(t.Context(), ""))
	require.Equal(t, relay.ReasonPoison, response.Header.Get(model.HeaderReason))
	require.Zero(t, runs.Load())
	for _, verdict := range []agent.TrialVerdict{agent.TrialGranted, agent.TrialUnneeded} {
		f.trial = verdict
		response, _ = b.do(b.relayed(t.Context(), ""))
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.EqualValues(t, 2, runs.Load())
	require.Eventually(t, func() bool { return !b.agent.IsRunning(0xab) }, time.Second, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, []bool{true}, f.trials)
}

// Guards against a crash that looks like a broken connection because a supervisor restarted the target before the agent
// checked whether it refuses connections.
func TestCrashWithImmediateRestart(t *testing.T) {
	f := &fakes{}
	b := newFixture(t, agent.Config{PoisonDetector: f})
	idle := make(chan net.Conn, 2)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range cap(idle) {
			_ = (<-idle).Close()
		}
		conn, _, _ := http.NewResponseController(w).Hijack()
		_ = conn.Close()
	})
	target := httptest.NewUnstartedServer(handler)
	target.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			select {
			case idle <- conn:
			default: // The agent opens the connection for the request after its idle liveness connections.
			}
		}
	}
	target.Start()
	t.Cleanup(target.Close)
	status, body := b.local("/v1/announce", announcementOf(target.Listener.Addr().String(), 1))
	require.Equal(t, http.StatusNoContent, status, body)
	require.Eventually(t, func() bool { return len(idle) == cap(idle) }, 10*time.Second, time.Millisecond)
	response, _ := b.do(b.relayed(t.Context(), ""))
	require.Equal(t, relay.ReasonCrashed, response.Header.Get(model.HeaderReason))
	require.Len(t, f.suspects, 1)
}
