package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/internal/syntax"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	defaultMaxSends = 5
	defaultMaxWait  = 30 * time.Second
	defaultMaxBody  = 16 << 20
	defaultReserve  = 10
	// backoff is the wait after a send without an answer; it doubles with every send.
	backoff = 200 * time.Millisecond
	// maxTokenAge is the age at which an owner token is replaced: a token is valid for new keys for five minutes, and
	// resends must fit into that time.
	maxTokenAge = 3 * time.Minute
	// keyRandomBytes is the length of the random part of a key, long enough to rule out collisions in practice.
	keyRandomBytes = 16
)

// ErrToken is returned when no edge issues an owner token.
var ErrToken = eris.New("client: no edge issued an owner token; check Config.Edges")

// errTooLarge is the cause when a response body exceeds Config.MaxBody.
var errTooLarge = eris.New("client: the response body exceeds Config.MaxBody")

// errMaxSends is the cause when the request was sent Config.MaxSends times without a final answer.
var errMaxSends = eris.New("client: no final answer after Config.MaxSends sends")

// errRetryBudget is the cause when the retry budget is exhausted; see Config.Reserve.
var errRetryBudget = eris.New("client: retry budget exhausted; wait before sending more requests")

// Config configures a client; only Edges is required.
type Config struct {
	// Edges are base URLs of nodes; after a send without an answer the client switches to the next one.
	Edges   []string
	Account string
	HTTP    *http.Client
	// MaxSends bounds how often one request is sent.
	MaxSends int
	// MaxWait is the longest Retry-After that the client honors; it gives up on longer ones.
	MaxWait time.Duration
	// MaxBody is the maximum size of a response body in bytes.
	MaxBody int64
	// Reserve is the initial retry budget: the number of resends that a new client may make before its requests have
	// earned any; default 10, none when negative. In the long run the client resends at most one in ten requests, so
	// that callers do not amplify an overload. Polling for the answer of a running request is not counted, because it
	// adds no work for the targets.
	Reserve int
}

// Request is a request that the client may send more than once.
type Request struct {
	Method string
	// Host selects the route; if empty, the host of the edge's URL is used.
	Host string
	// Path includes the query string.
	Path   string
	Header http.Header
	Body   []byte
	// Key resumes an earlier request; if empty, a new key is generated.
	Key string
}

// Response is the complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key of the request, Sends the number of times it was sent.
	Key   string
	Sends int
}

// Client sends requests with idempotency keys; it is safe for concurrent use.
type Client struct {
	config    Config
	http      http.Client
	mu        sync.Mutex
	budget    *retry.Budget
	token     string
	tokenTime time.Time
	edge      int
}

// New returns a client; it fails if Config.Edges is empty.
func New(c Config) (*Client, error) {
	if len(c.Edges) == 0 {
		return nil, eris.New("client: set Config.Edges to the base URL of at least one node")
	}
	if c.HTTP == nil {
		c.HTTP = http.DefaultClient
	}
	if c.MaxSends == 0 {
		c.MaxSends = defaultMaxSends
	}
	if c.MaxWait == 0 {
		c.MaxWait = defaultMaxWait
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBody
	}
	if c.Reserve == 0 {
		c.Reserve = defaultReserve
	}
	client := &Client{config: c, http: *c.HTTP, budget: retry.NewBudget(retry.Config{Reserve: c.Reserve})}
	if client.http.Transport == nil {
		client.http.Transport = http.DefaultTransport
	}
	client.http.Transport = syntax.Transport{RoundTripper: client.http.Transport}
	// A redirect is the response of the target to this request; following it would be another request.
	client.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client, nil
}

// Do sends the request until its outcome is known, and fails with *Error when it gives up.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	resumed := r.Key != ""
	if !resumed {
		key, err := c.newKey(ctx)
		if err != nil {
			return nil, err
		}
		r.Key = key
	}
	c.budget.Deposit()
	a := requestRun{client: c, request: r, mayStillRun: resumed}
	return a.run(ctx)
}

// newKey appends a random part to a recent owner token.
func (c *Client) newKey(ctx context.Context) (string, error) {
	token, err := c.ownerToken(ctx)
	if err != nil {
		return "", err
	}
	unique := make([]byte, keyRandomBytes)
	if _, err := rand.Read(unique); err != nil {
		return "", eris.Wrap(err, "client: read random bytes")
	}
	return token + "." + hex.EncodeToString(unique), nil
}

func (c *Client) ownerToken(ctx context.Context) (string, error) {
	c.mu.Lock()
	token, fresh := c.token, time.Since(c.tokenTime) < maxTokenAge
	c.mu.Unlock()
	if token != "" && fresh {
		return token, nil
	}
	var last error
	for range c.config.Edges {
		token, err := c.fetchToken(ctx)
		if err == nil {
			return token, nil
		}
		last = err
		c.nextEdge()
	}
	return "", eris.Wrap(last, ErrToken.Error())
}

func (c *Client) fetchToken(ctx context.Context) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL()+model.PathOwner, http.NoBody)
	if err != nil {
		return "", err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	token := response.Header.Get(model.HeaderOwner)
	if response.StatusCode != http.StatusOK || token == "" {
		return "", ErrToken
	}
	c.storeToken(token)
	return token, nil
}

// storeToken stores the owner token of the latest response.
func (c *Client) storeToken(token string) {
	if token == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.tokenTime = token, time.Now()
}

func (c *Client) baseURL() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.TrimSuffix(c.config.Edges[c.edge], "/")
}

func (c *Client) nextEdge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.edge = (c.edge + 1) % len(c.config.Edges)
}

// nonReplayableReader hides the type of the body, so that net/http cannot read it again: its transport would otherwise
// retry the request by itself, and a response to that copy says nothing about the first one.
type nonReplayableReader struct {
	io.Reader
}

// send sends the request once and reads the complete response.
func (c *Client) send(ctx context.Context, r Request) (*Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, c.baseURL()+r.Path, nonReplayableReader{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	request.Host = r.Host
	request.ContentLength = int64(len(r.Body))
	request.Header.Set(model.HeaderIdempotencyKey, r.Key)
	if c.config.Account != "" {
		request.Header.Set(model.HeaderAccount, c.config.Account)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(model.HeaderTimeout, time.Until(deadline).Round(time.Millisecond).String())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	c.storeToken(response.Header.Get(model.HeaderOwner))
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxBody+1))
	if err == nil && int64(len(body)) > c.config.MaxBody {
		err = errTooLarge
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body, Key: r.Key}, err
}

// reason returns the reason given in a response that the fleet generated itself.
func reason(r *Response) string {
	var answer model.Answer
	if json.Unmarshal(r.Body, &answer) != nil {
		return ""
	}
	return answer.Reason
}
