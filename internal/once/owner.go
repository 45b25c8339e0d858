package once

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	epochInterval = time.Minute
	// minTokenAge is the minimum time for which an owner token is valid for new keys. It is shorter than the retention, so
	// that an epoch stops changing and its records expire.
	minTokenAge = 5 * time.Minute
	// epochsPerMaxKeys starts a new epoch early, so that dropping one epoch removes at most a tenth of MaxKeys.
	epochsPerMaxKeys = 10
	// claimTimeout bounds one write to a slow platform; after maxClaimAttempts timeouts the outcome is unknown.
	claimTimeout = time.Second
	// reservedPrefix starts the unique part of the keys that are generated for requests without a key.
	reservedPrefix = "!"
)

// Peers calls net/rpc methods of other nodes.
type Peers interface {
	Call(ctx context.Context, node model.Node, method string, args, reply any) error
}

// Claims stores the owner tokens of plain keys. ClaimKey writes the row unless it exists, and returns the owner token
// that the row holds afterwards.
type Claims interface {
	ClaimKey(ctx context.Context, row, token string) (string, error)
}

// Directory looks up the nodes of the fleet.
type Directory interface {
	// Node returns the node incarnation with its addresses, if it is known and not dead.
	Node(ref model.NodeRef) (model.Node, bool)
	// Successor returns the node to which the node incarnation hands its keys over when it shuts down, if it announced
	// one.
	Successor(ref model.NodeRef) (model.Node, bool)
	// Agents returns the nodes that have targets of the service.
	Agents(service string) []model.Node
}

// Config configures an Owner; Self, Peers, Claims and Directory are required.
type Config struct {
	Self      model.Node
	Peers     Peers
	Claims    Claims
	Directory Directory
	// Ledger is the ledger of the same node's agent role, which is then called without net/rpc.
	Ledger *Ledger
	Clock  timer.Service
	// Retention is the minimum time for which a key is kept, unless MaxKeys is reached.
	Retention time.Duration
	MaxKeys   int
	// EpochKeys is the number of new keys after which the next epoch starts, even if its minute is not over.
	EpochKeys int
}

// epochStart is the start time of an epoch.
type epochStart struct {
	Epoch   uint64
	Started time.Time
}

// Owner decides whether and where requests with keys run, for all requests that arrive at this node.
type Owner struct {
	config        Config
	shards        [shards]ownerShard
	token         atomic.Pointer[string]
	uniqueCounter atomic.Uint64
	newKeys       atomic.Int64
	nodes         nodeCache
	epochMu       sync.Mutex
	epoch         uint64
	epochStarted  time.Time
	epochStarts   []epochStart
	ticker        ticker
}

type ownerShard struct {
	mu     sync.Mutex
	module *ownerModule
	// pendingTransfer is the transfer that the successor has not acknowledged yet.
	pendingTransfer *Transfer
	_               [40]byte // puts the locks of two shards on different cache lines
}

// NewOwner returns an owner in epoch 1 that starts and drops epochs in the background until Close.
func NewOwner(c Config) (*Owner, error) {
	if c.Self.Ref.IsZero() || c.Peers == nil || c.Claims == nil || c.Directory == nil {
		return nil, eris.New("once: Config.Self, Peers, Claims and Directory are required")
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	c.Retention = orDefault(c.Retention, defaultRetention)
	c.MaxKeys = orDefault(c.MaxKeys, defaultMaxKeys)
	c.EpochKeys = orDefault(c.EpochKeys, max(c.MaxKeys/epochsPerMaxKeys, 1))
	o := &Owner{config: c}
	for i := range o.shards {
		o.shards[i].module = newOwnerModule(ownerConfig{
			Self:       c.Self.Ref,
			MaxRecords: max(c.MaxKeys/shards, 1),
			MaxFloors:  defaultMaxFloors,
		})
	}
	o.startEpoch(c.Clock.Now())
	o.ticker.start(c.Clock, expireInterval, o.tick)
	return o, nil
}

// Token returns the owner token of the current epoch.
func (o *Owner) Token() string {
	return *o.token.Load()
}

// Begin decides about a request. After KindRun the edge makes attempts and calls End exactly once.
func (o *Owner) Begin(ctx context.Context, req KeyRequest) Decision {
	key, refusal := o.issuedForm(ctx, req)
	if refusal != nil {
		return *refusal
	}
	id, err := parseKey(key)
	if err != nil {
		return invalidKey(req.Key)
	}
	state := &requestState{key: key, id: id, request: req}
	return o.execute(ctx, state, o.update(id, BeginMsg{Now: o.now(), ID: id, Fingerprint: req.Fingerprint}))
}

// StartAttempt records an attempt and returns its Auburnwinch-Key header value, which must be sent at most once, to the
// given node. It fails if the key was dropped or handed over in the meantime; the edge then calls ResolveAttempt.
func (o *Owner) StartAttempt(key string, _ model.TargetRef, node model.Node) (attempt string, ok bool) {
	id, err := parseKey(key)
	if err != nil {
		return "", false
	}
	run, ok := o.update(id, StartMsg{Now: o.now(), ID: id, Agent: o.nodes.intern(node)}).(RunCmd)
	if !ok {
		return "", false
	}
	return formatAttempt(key, run.Fingerprint, node.Ref.Incarnation), true
}

// RefuseAttempt reports that the agent received the attempt and refused it without running it.
func (o *Owner) RefuseAttempt(key string) {
	if id, err := parseKey(key); err == nil {
		o.update(id, RefuseMsg{Now: o.now(), ID: id})
	}
}

// FinishAttempt reports that the complete response to the attempt arrived.
func (o *Owner) FinishAttempt(key string) {
	if id, err := parseKey(key); err == nil {
		o.update(id, FinishMsg{Now: o.now(), ID: id})
	}
}

// ResolveAttempt fences an attempt whose outcome is in doubt; KindRun permits another attempt.
func (o *Owner) ResolveAttempt(ctx context.Context, key string) Decision {
	id, err := parseKey(key)
	if err != nil {
		return Decision{Kind: KindNotRun, Key: key, Reason: ReasonKeyInvalid}
	}
	return o.execute(ctx, &requestState{key: key, id: id}, o.update(id, InDoubtMsg{Now: o.now(), ID: id}))
}

// End releases the key after the request that got KindRun was answered with the outcome.
func (o *Owner) End(key string, outcome model.Outcome) {
	if id, err := parseKey(key); err == nil {
		o.update(id, EndMsg{Now: o.now(), ID: id, Outcome: outcome})
	}
}

// Query returns the outcome of an issued key without changing it; KindReplay comes without the stored response.
func (o *Owner) Query(ctx context.Context, key string) Decision {
	id, err := parseKey(key)
	if err != nil {
		return Decision{Kind: KindUnknown, Key: key, Reason: ReasonKeyInvalid}
	}
	return o.execute(ctx, &requestState{key: key, id: id, query: true}, o.query(id))
}

// Close stops the background work on epochs.
func (o *Owner) Close() {
	o.ticker.close()
}

// invalidKey rejects a malformed key. A request with a malformed issued key never runs; a plain key is malformed only
// if its row is one that this version can't read, so it may have run.
func invalidKey(key string) Decision {
	if IsIssued(key) {
		return Decision{Kind: KindNotRun, Key: key, Reason: ReasonKeyInvalid}
	}
	return Decision{Kind: KindUnknown, Key: key, Reason: ReasonKeyInvalid}
}

func (o *Owner) now() time.Time {
	return o.config.Clock.Now()
}

func (o *Owner) update(id keyID, msg Msg) Cmd {
	s := &o.shards[id.Digest.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	return firstCmd(s.module.Update(msg))
}

func (o *Owner) query(id keyID) Cmd {
	s := &o.shards[id.Digest.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	return firstCmd(s.module.Query(QueryMsg{ID: id}))
}

// firstCmd returns the command of an update, or nil; the module returns at most one.
func firstCmd(cmds []Cmd) Cmd {
	if len(cmds) == 0 {
		return nil
	}
	return cmds[0]
}

// issuedForm returns the issued form of the request's key, or the decision that rejects the request.
func (o *Owner) issuedForm(ctx context.Context, req KeyRequest) (string, *Decision) {
	o.countNewKey()
	switch {
	case req.Key == "":
		return o.Token() + "." + reservedPrefix + strconv.FormatUint(o.uniqueCounter.Add(1), 10), nil
	case IsIssued(req.Key):
		if strings.Contains(req.Key, "."+reservedPrefix) {
			// The edge may have generated this key for a request that ran.
			return "", &Decision{Kind: KindUnknown, Reason: ReasonKeyInvalid}
		}
		return req.Key, nil
	}
	row := plainRow(req.Account, req.Key)
	token, err := o.claim(ctx, row)
	if err != nil {
		refusal := claimFailure()
		return "", &refusal
	}
	return token + "." + row, nil
}

func (o *Owner) claim(ctx context.Context, row string) (token string, err error) {
	for range maxClaimAttempts {
		if token, err = o.claimOnce(ctx, row); err == nil {
			return token, nil
		}
	}
	return "", err
}

func (o *Owner) claimOnce(ctx context.Context, row string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return o.config.Claims.ClaimKey(ctx, row, o.Token())
}

func (o *Owner) execute(ctx context.Context, state *requestState, cmd Cmd) Decision {
	for {
		switch c := cmd.(type) {
		case RunCmd:
			return Decision{Kind: KindRun, Key: state.key}
		case DecideCmd:
			return state.decision(c.Kind, c.Reason)
		case FenceCmd:
			cmd = o.fence(ctx, state, c)
		case FetchCmd:
			return o.fetch(ctx, state, c)
		case ResolveCmd:
			next, decision := o.resolveRemote(ctx, state, c)
			if next == nil {
				return decision
			}
			cmd = next
		default:
			return state.decision(KindUnknown, ReasonOwnerUnreachable)
		}
	}
}

// fingerprint returns the fingerprint of the key's record if there is one, because ResolveAttempt does not carry the
// request.
func (o *Owner) fingerprint(state *requestState) uint64 {
	s := &o.shards[state.id.Digest.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.module.records.get(state.id)
	if !ok {
		return state.request.Fingerprint
	}
	return r.Fingerprint
}
