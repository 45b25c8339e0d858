package quota

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxPatience bounds the wait of a request for a token; it is more than calls to two pools that do not reply.
	maxPatience = time.Second
	// patienceParts is the fraction of the time left that a request waits at most.
	patienceParts = 5
	// joinDelay is the time after which all nodes in touch count a new node. It creates no tokens before.
	joinDelay = 3 * time.Second
	// maxSleep bounds the sleep of a node without need.
	maxSleep = time.Minute
)

// Config configures a Client; Now, Dial and Logger are optional.
type Config struct {
	Self   model.Node
	Bounds Bounds
	// Now returns the time since the VM started, including suspensions.
	Now    func() time.Duration
	Dial   DialFunc
	Logger log.Logger
}

// Token is the permission to run one request of an account until it expires.
type Token struct {
	Expires time.Duration
}

// Counters counts the decisions of a node.
type Counters struct {
	// Refused counts requests beyond a quota, Late those for which no pool replied in time.
	Granted, Waited, Refused, Late, GivenBack, Calls, FailedCalls atomic.Int64
}

// Client takes tokens for the requests of this node, and holds pools for other nodes. It is safe for concurrent use.
type Client struct {
	Counters
	config Config
	cancel context.CancelFunc
	group  conc.WaitGroup
	// shareDue and poolDue wake the goroutines that call the pools.
	shareDue, poolDue notify.Signal
	leaving           atomic.Bool

	mu            sync.Mutex
	share         *Share
	domain, fleet *Pool
	domainRanking *Ranking
	fleetRanking  *Ranking
	fraction      float64
	// counted tells that the other nodes count this one, which creates tokens from createsFrom.
	counted     bool
	createsFrom time.Duration
	// replied is closed and replaced at each reply to the share.
	replied chan struct{}
}

// New starts a client; Close stops it.
func New(c Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	id, epoch := c.Self.Ref.ID, max(1, c.Self.Ref.Incarnation)
	q := &Client{
		config: c.withDefaults(), cancel: cancel, shareDue: notify.New(), poolDue: notify.New(), replied: make(chan struct{}),
		share: NewShare(id), domain: NewPool(PoolConfig{Self: id, Epoch: epoch}), fleet: NewPool(PoolConfig{Self: id, Epoch: epoch, Top: true}),
		domainRanking: NewRanking(id, "domain"), fleetRanking: NewRanking(id, "fleet"),
	}
	q.group.Go(func() { q.callDomain(ctx) })
	q.group.Go(func() { q.callFleet(ctx) })
	return q
}

// Service returns the net/rpc service that other nodes call.
func (c *Client) Service() (name string, receiver any) { return serviceName, &Service{client: c} }

// SetAccounts applies the quotas of the configuration in force.
func (c *Client) SetAccounts(accounts []model.ClientAccount) {
	terms := make(map[string]Terms)
	for _, a := range accounts {
		if a.Quota.Rate > 0 {
			terms[a.Name] = c.config.Bounds.Terms(a.Quota)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share.Update(TermsMsg{Terms: terms})
	c.domain.Update(TermsMsg{Terms: terms})
	c.fleet.Update(TermsMsg{Terms: terms})
	c.wakeLocked()
}

// SetNodes applies the nodes among which the quotas are divided.
func (c *Client) SetNodes(nodes []model.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	var domain, fleet []Peer
	for _, n := range nodes {
		if n.PeerAddress == "" {
			continue
		}
		peer := Peer{ID: n.Ref.ID, Incarnation: n.Ref.Incarnation, Address: n.PeerAddress}
		fleet = append(fleet, peer)
		if n.Domain == c.config.Self.Domain {
			domain = append(domain, peer)
		}
	}
	if len(nodes) > 0 {
		c.fraction = 1 / float64(len(nodes))
	}
	c.domainRanking.Update(PeersMsg{Peers: domain})
	c.fleetRanking.Update(PeersMsg{Peers: fleet})
	c.createLocked(now)
}

// SetCounted tells whether the stored record makes the other nodes count this one. It creates tokens once all of them do, and
// must be told before the record says otherwise.
func (c *Client) SetCounted(counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counted == c.counted {
		return
	}
	now := c.config.Now()
	c.counted, c.createsFrom = counted, now+joinDelay
	c.createLocked(now)
}

// Resume tells that the record of an earlier process of this node makes the others count it. It must be told before the first
// record of this process is stored.
func (c *Client) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	c.counted, c.createsFrom = true, now
	c.createLocked(now)
}

// createLocked applies the fraction of the tokens that this node may create now.
func (c *Client) createLocked(now time.Duration) {
	fraction := c.fraction
	if !c.counted || now < c.createsFrom {
		fraction = 0
	}
	c.share.Update(FractionMsg{Now: now, Fraction: fraction})
}

// Take takes a token for a request of the account, and waits for one up to a fifth of the time left. Unless ok, the quota is
// exceeded, and retryAfter is the expected time until a token.
func (c *Client) Take(ctx context.Context, account string) (token Token, retryAfter time.Duration, ok bool) {
	patience := maxPatience
	if deadline, has := ctx.Deadline(); has {
		patience = min(patience, time.Until(deadline)/patienceParts)
	}
	now := c.config.Now()
	msg := TakeMsg{Now: now, Account: account, Until: now + patience}
	for {
		cmd, replied := c.take(msg)
		switch cmd := cmd.(type) {
		case TokenCmd:
			c.Granted.Add(1)
			return Token(cmd), 0, true
		case RefuseCmd:
			if cmd.Late {
				c.Late.Add(1)
			} else {
				c.Refused.Add(1)
			}
			return Token{}, cmd.RetryAfter, false
		}
		if !msg.Waiting {
			c.Waited.Add(1)
			c.shareDue.Raise()
		}
		if !c.await(ctx, replied, msg.Until-msg.Now) {
			c.mu.Lock()
			c.share.Update(LeaveMsg{Account: account})
			c.mu.Unlock()
			c.Late.Add(1)
			return Token{}, minWait, false
		}
		msg.Now, msg.Waiting = c.config.Now(), true
	}
}

// GiveBack returns the token of a request that did not run.
func (c *Client) GiveBack(account string, t Token) {
	c.GivenBack.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share.Update(GiveBackMsg{Now: c.config.Now(), Account: account, Expires: t.Expires})
}

// Leave refuses calls of other nodes from now on, because the node shuts down.
func (c *Client) Leave() { c.leaving.Store(true) }

// Close stops the calls to the pools.
func (c *Client) Close() {
	c.leaving.Store(true)
	c.cancel()
	c.group.Wait()
}

func (c *Client) take(msg TakeMsg) (Cmd, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share.Update(msg), c.replied
}

// await waits for the next reply; it returns false if the request ended.
func (c *Client) await(ctx context.Context, replied <-chan struct{}, patience time.Duration) bool {
	expired := time.NewTimer(max(0, patience))
	defer expired.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-replied:
	case <-expired.C:
	}
	return true
}

// serve answers a call to a pool of this node.
func (c *Client) serve(p *Pool, ask *Ask, grant *Grant) error {
	if c.leaving.Load() && ask.From != c.config.Self.Ref.ID {
		return ErrLeaving
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	*grant = p.Update(AskMsg{Now: now, Ask: *ask}).(GrantCmd).Grant
	if p == c.domain && p.Due(now) <= now+minExchangeGap {
		c.poolDue.Raise()
	}
	return nil
}

func (c *Client) wakeLocked() {
	c.shareDue.Raise()
	c.poolDue.Raise()
}

// callDomain calls the pool of the failure domain whenever the share needs it.
func (c *Client) callDomain(ctx context.Context) {
	conn := &connection{dial: c.config.Dial, method: domainMethod, timeout: domainCallTimeout}
	defer conn.close()
	var last string
	for c.sleep(ctx, c.shareDue, func(time.Duration) time.Duration { return c.share.Due() }) {
		c.mu.Lock()
		now := c.config.Now()
		if c.share.Due() > now {
			c.mu.Unlock()
			continue
		}
		c.createLocked(now)
		peer := c.domainRanking.Choose(now)
		ask := c.share.Update(SendMsg{Now: now, Pool: peer.ID}).(SendCmd).Ask
		c.mu.Unlock()
		c.logChange("domain", &last, peer.ID)
		grant, err := c.call(ctx, conn, c.domain, peer, ask)
		c.mu.Lock()
		now = c.config.Now()
		if err != nil {
			c.share.Update(FailedMsg{Now: now})
		} else {
			c.share.Update(GrantedMsg{Now: now, Grant: grant})
		}
		c.rank(c.domainRanking, now, peer, err)
		close(c.replied)
		c.replied = make(chan struct{})
		c.mu.Unlock()
	}
}

// callFleet calls the pool of the fleet whenever the pool of the failure domain, if this node holds it, needs it.
func (c *Client) callFleet(ctx context.Context) {
	conn := &connection{dial: c.config.Dial, method: fleetMethod, timeout: fleetCallTimeout}
	defer conn.close()
	var last string
	for c.sleep(ctx, c.poolDue, func(now time.Duration) time.Duration { return c.domain.Due(now) }) {
		c.mu.Lock()
		now := c.config.Now()
		if c.domain.Due(now) > now {
			c.mu.Unlock()
			continue
		}
		peer := c.fleetRanking.Choose(now)
		ask := c.domain.Update(SendMsg{Now: now, Pool: peer.ID}).(SendCmd).Ask
		c.mu.Unlock()
		c.logChange("fleet", &last, peer.ID)
		grant, err := c.call(ctx, conn, c.fleet, peer, ask)
		c.mu.Lock()
		now = c.config.Now()
		if err != nil {
			c.domain.Update(FailedMsg{Now: now})
		} else {
			c.domain.Update(GrantedMsg{Now: now, Grant: grant})
		}
		c.rank(c.fleetRanking, now, peer, err)
		c.mu.Unlock()
	}
}

// call calls the pool, directly if this node holds it.
func (c *Client) call(ctx context.Context, conn *connection, own *Pool, peer Peer, ask Ask) (Grant, error) {
	if peer.ID == c.config.Self.Ref.ID {
		var grant Grant
		err := c.serve(own, &ask, &grant)
		return grant, err
	}
	c.Calls.Add(1)
	grant, err := conn.call(ctx, peer.Address, ask)
	if err != nil && ctx.Err() == nil {
		c.FailedCalls.Add(1)
		_ = level.Info(c.config.Logger).Log("msg", "quota pool unreachable", "node", peer.ID, "err", err)
	}
	return grant, err
}

func (c *Client) rank(r *Ranking, now time.Duration, peer Peer, err error) {
	if err != nil {
		r.Update(UnreachableMsg{Now: now, ID: peer.ID})
		return
	}
	r.Update(ReachedMsg{ID: peer.ID})
}

func (c *Client) logChange(pool string, last *string, id string) {
	if *last != id {
		_ = level.Info(c.config.Logger).Log("msg", "quota pool changed", "pool", pool, "from", *last, "to", id)
		*last = id
	}
}

// sleep waits until the call may be due; it returns false once the client stops.
func (c *Client) sleep(ctx context.Context, wake notify.Signal, due func(now time.Duration) time.Duration) bool {
	for {
		c.mu.Lock()
		now := c.config.Now()
		wait := due(now)
		c.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if wait <= now {
			return true
		}
		expired := time.NewTimer(min(wait-now, maxSleep))
		select {
		case <-ctx.Done():
		case <-wake:
		case <-expired.C:
		}
		expired.Stop()
	}
}

func (c Config) withDefaults() Config {
	c.Bounds = c.Bounds.withDefaults()
	if c.Now == nil {
		c.Now = timer.SinceBoot
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	return c
}
