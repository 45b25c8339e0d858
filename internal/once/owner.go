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
	// tokenAge is how long an owner token is good for new keys at least; it is less than the retention, so that the records
	// of an epoch come to rest and expire.
	tokenAge = 5 * time.Minute
	// epochsInBound starts a new epoch early, so that dropping one epoch frees at most a tenth of the bound.
	epochsInBound = 10
	// claimTimeout bounds one write to a slow platform; the caller gets unknown after claimTries of them.
	claimTimeout = time.Second
	// reservedMark starts the unique part of the keys that the edge gives to sends without a key.
	reservedMark = "!"
)

// Peers calls net/rpc methods of other nodes.
type Peers interface {
	Call(ctx context.Context, node model.Node, method string, args, reply any) error
}

// Claims writes the row of a plain key unless it exists, and returns the owner token that the row holds afterwards.
type Claims interface {
	ClaimKey(ctx context.Context, row, token string) (string, error)
}

// Directory finds the nodes of the fleet.
type Directory interface {
	// Node returns the addresses of the node incarnation, if it is known and not dead.
	Node(ref model.NodeRef) (model.Node, bool)
	// Successor returns the node that the leaving record of the node incarnation names.
	Successor(ref model.NodeRef) (model.Node, bool)
	// Agents returns the nodes that have targets of the service.
	Agents(service string) []model.Node
}

// Config configures an owner; Self, Peers, Claims and Directory are required.
type Config struct {
	Self      model.Node
	Peers     Peers
	Claims    Claims
	Directory Directory
	// Ledger answers for the agent role of the same node without a call.
	Ledger *Ledger
	Clock  timer.Service
	// Retention is how long a key is remembered at least, unless MaxKeys is reached.
	Retention time.Duration
	MaxKeys   int
	// EpochKeys is the number of new keys that starts an epoch before its minute is over.
	EpochKeys int
}

// epochStart tells when an epoch began.
type epochStart struct {
	Epoch uint64
	Begun time.Time
}

// Owner decides where requests with keys run, for all sends that arrive at this node.
type Owner struct {
	config Config
	shards [shards]ownerShard
	token  atomic.Pointer[string]
	unique atomic.Uint64
	fresh  atomic.Int64
	nodes  nodeCache
	epochs sync.Mutex
	epoch  uint64
	begun  time.Time
	oldest []epochStart
	ticker ticker
}

type ownerShard struct {
	mu     sync.Mutex
	module *ownerModule
	// transfer is what a successor has not acknowledged yet.
	transfer *Transfer
	_        [40]byte // keeps the locks of two shards off one cache line
}

// NewOwner returns an owner in epoch 1 that starts and drops epochs until Close.
func NewOwner(c Config) (*Owner, error) {
	if c.Self.Ref.IsZero() || c.Peers == nil || c.Claims == nil || c.Directory == nil {
		return nil, eris.New("once: the owner needs Config.Self, Peers, Claims and Directory")
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	c.Retention = orDefault(c.Retention, defaultRetention)
	c.MaxKeys = orDefault(c.MaxKeys, defaultMaxKeys)
	c.EpochKeys = orDefault(c.EpochKeys, max(c.MaxKeys/epochsInBound, 1))
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

// Begin decides about a send. After KindRun the edge makes attempts and calls End exactly once.
func (o *Owner) Begin(ctx context.Context, s KeyRequest) Decision {
	key, refusal := o.issuedForm(ctx, s)
	if refusal != nil {
		return *refusal
	}
	id, err := parseKey(key)
	if err != nil {
		return invalid(s.Key)
	}
	e := &sendState{key: key, id: id, send: s}
	return o.carryOut(ctx, e, o.update(id, BeginMsg{Now: o.now(), ID: id, Fingerprint: s.Fingerprint}))
}

// StartAttempt records an attempt and returns the value of Auburnwinch-Key; it must be sent at most once, to this node.
// It fails when the key was dropped or handed over meanwhile; the edge then calls ResolveAttempt.
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

// RefuseAttempt reports that the agent read the attempt, refused it and never ran it.
func (o *Owner) RefuseAttempt(key string) {
	if id, err := parseKey(key); err == nil {
		o.update(id, RefuseMsg{Now: o.now(), ID: id})
	}
}

// FinishAttempt reports that the whole answer of the attempt arrived.
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
	return o.carryOut(ctx, &sendState{key: key, id: id}, o.update(id, DoubtMsg{Now: o.now(), ID: id}))
}

// End releases the key after the send that got KindRun was answered with the outcome.
func (o *Owner) End(key string, outcome model.Outcome) {
	if id, err := parseKey(key); err == nil {
		o.update(id, EndMsg{Now: o.now(), ID: id, Outcome: outcome})
	}
}

// Query tells the outcome of an issued key without changing it; KindAnswer comes without the answer itself.
func (o *Owner) Query(ctx context.Context, key string) Decision {
	id, err := parseKey(key)
	if err != nil {
		return Decision{Kind: KindUnknown, Key: key, Reason: ReasonKeyInvalid}
	}
	return o.carryOut(ctx, &sendState{key: key, id: id, query: true}, o.query(id))
}

// Close stops the epochs.
func (o *Owner) Close() {
	o.ticker.close()
}

// invalid refuses a malformed key. No send with a malformed issued key ever runs; a plain key becomes malformed only by a
// row that this version can't read.
func invalid(key string) Decision {
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
	return only(s.module.Update(msg))
}

func (o *Owner) query(id keyID) Cmd {
	s := &o.shards[id.Digest.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	return only(s.module.Query(QueryMsg{ID: id}))
}

// only returns the command of an update; the module gives at most one.
func only(cmds []Cmd) Cmd {
	if len(cmds) == 0 {
		return nil
	}
	return cmds[0]
}

// issuedForm returns the issued form of the send's key, or the decision that refuses the send.
func (o *Owner) issuedForm(ctx context.Context, s KeyRequest) (string, *Decision) {
	o.countFresh()
	switch {
	case s.Key == "":
		return o.Token() + "." + reservedMark + strconv.FormatUint(o.unique.Add(1), 10), nil
	case IsIssued(s.Key):
		if strings.Contains(s.Key, "."+reservedMark) {
			// The edge itself may have run this key.
			return "", &Decision{Kind: KindUnknown, Reason: ReasonKeyInvalid}
		}
		return s.Key, nil
	}
	row := plainRow(s.Account, s.Key)
	token, err := o.claim(ctx, row)
	if err != nil {
		refusal := unclaimed()
		return "", &refusal
	}
	return token + "." + row, nil
}

func (o *Owner) claim(ctx context.Context, row string) (token string, err error) {
	for range claimTries {
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

func (o *Owner) carryOut(ctx context.Context, e *sendState, cmd Cmd) Decision {
	for {
		switch c := cmd.(type) {
		case RunCmd:
			return Decision{Kind: KindRun, Key: e.key}
		case DecideCmd:
			return e.decision(c.Kind, c.Reason)
		case FenceCmd:
			cmd = o.fence(ctx, e, c)
		case FetchCmd:
			return o.fetch(ctx, e, c)
		case AskCmd:
			next, decision := o.ask(ctx, e, c)
			if next == nil {
				return decision
			}
			cmd = next
		default:
			return e.decision(KindUnknown, ReasonOwnerGone)
		}
	}
}

// fingerprint returns the one of the record, since ResolveAttempt does not carry the request.
func (o *Owner) fingerprint(e *sendState) uint64 {
	s := &o.shards[e.id.Digest.shard()]
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.module.records.get(e.id)
	if !ok {
		return e.send.Fingerprint
	}
	return r.Fingerprint
}
