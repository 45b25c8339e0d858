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
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	defaultMaxSends = 5
	defaultMaxWait  = 30 * time.Second
	defaultMaxBody  = 16 << 20
	defaultReserve  = 10
	// backoff is the wait after a send without an answer; it doubles with every send.
	backoff = 200 * time.Millisecond
	// tokenAge is the age from which a token is replaced: it is good for new keys for five minutes, and resends must fit in.
	tokenAge = 3 * time.Minute
	// uniqueBytes makes it impossible in practice that two requests get one key.
	uniqueBytes = 16
)

// ErrToken is returned when no edge gives an owner token.
var ErrToken = eris.New("client: no edge gave an owner token; check Config.Edges")

// errTooLarge is the cause when the answer exceeds Config.MaxBody.
var errTooLarge = eris.New("client: the answer exceeds Config.MaxBody")

// errGivenUp is the cause when the client made Config.MaxSends sends.
var errGivenUp = eris.New("client: Config.MaxSends sends did not bring an answer")

// errBudget is the cause when the client may not resend more; see Config.Reserve.
var errBudget = eris.New("client: too many requests were sent again; wait before you send more")

// Config configures a client; only Edges is required.
type Config struct {
	// Edges are base URLs of nodes; a resend after a send without an answer goes to the next one.
	Edges   []string
	Account string
	HTTP    *http.Client
	// MaxSends bounds the sends of one request.
	MaxSends int
	// MaxWait bounds the wait that a Retry-After asks for; longer ones make the client give up.
	MaxWait time.Duration
	// MaxBody bounds the body of an answer in bytes.
	MaxBody int64
	// Reserve is the number of resends that a new client may make before its requests have earned any; default 10, none
	// when negative. In the long run the client resends at most one in ten requests, so that callers do not multiply an
	// overload. Waiting for a request that still runs is not counted, since it gives the targets no work.
	Reserve int
}

// Request is a request that the client may send several times.
type Request struct {
	Method string
	// Host selects the route; empty takes the host of the edge's URL.
	Host string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Key resumes an earlier request; empty makes a new key.
	Key string
}

// Response is the whole answer of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the key of the request, Sends the number of sends that it took.
	Key   string
	Sends int
}

// Client sends requests; it is safe for concurrent use.
type Client struct {
	config Config
	http   http.Client
	mu     sync.Mutex
	budget *retry.Budget
	token  string
	taken  time.Time
	edge   int
}

// New returns a client; it fails without edges.
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
	// A redirect is the answer of the target to this request; following it would be another request.
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
	a := attempt{client: c, request: r, unanswered: resumed}
	return a.run(ctx)
}

// newKey appends a unique part to a recent owner token.
func (c *Client) newKey(ctx context.Context) (string, error) {
	token, err := c.ownerToken(ctx)
	if err != nil {
		return "", err
	}
	unique := make([]byte, uniqueBytes)
	if _, err := rand.Read(unique); err != nil {
		return "", eris.Wrap(err, "client: read random bytes")
	}
	return token + "." + hex.EncodeToString(unique), nil
}

func (c *Client) ownerToken(ctx context.Context) (string, error) {
	c.mu.Lock()
	token, fresh := c.token, time.Since(c.taken) < tokenAge
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base()+model.PathOwner, http.NoBody)
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
	c.learn(token)
	return token, nil
}

// learn keeps the newest token that an answer carried.
func (c *Client) learn(token string) {
	if token == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.taken = token, time.Now()
}

func (c *Client) base() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.TrimSuffix(c.config.Edges[c.edge], "/")
}

func (c *Client) nextEdge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.edge = (c.edge + 1) % len(c.config.Edges)
}

// onceReader hides the type of the body, so that net/http can't read it again: its transport would repeat the request
// by itself, and an answer to the copy says nothing about the first one.
type onceReader struct {
	io.Reader
}

// send makes one send and reads the whole answer.
func (c *Client) send(ctx context.Context, r Request) (*Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, c.base()+r.Path, onceReader{bytes.NewReader(r.Body)})
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
	c.learn(response.Header.Get(model.HeaderOwner))
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxBody+1))
	if err == nil && int64(len(body)) > c.config.MaxBody {
		err = errTooLarge
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body, Key: r.Key}, err
}

// reason returns the reason in an answer that the fleet gave itself.
func reason(r *Response) string {
	var answer model.Answer
	if json.Unmarshal(r.Body, &answer) != nil {
		return ""
	}
	return answer.Reason
}
