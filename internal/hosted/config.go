package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/access"
	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/quota"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Config configures a node; Clock, Dial, Logger and FailureLogger are optional.
type Config struct {
	Self      model.Node
	Listeners Listeners
	// Nodes is the table in which each node publishes its record, in the partition of its failure domain.
	Nodes feed.Store
	// Configurations is the operator's table; Decode returns nil for rows that hold no configuration.
	Configurations roster.Table
	Decode         func(roster.Row) (*OperatorConfig, error)
	// CallerProtocol and TargetProtocol define the headers and responses exchanged with callers and targets.
	CallerProtocol edge.Protocol
	TargetProtocol agent.Protocol
	// LocalHandler and ReadyHandler return the handlers for heartbeats of the local target and for readiness probes.
	LocalHandler func(HeartbeatReceiver) http.Handler
	ReadyHandler func(ready func() bool) http.Handler
	// Grace is the time between the termination signal and the forced kill of the process.
	Grace       time.Duration
	RetryBudget RetryBudget
	// ConfigurationBound is the time within which a configuration must be in force on all nodes; default 2 s.
	ConfigurationBound time.Duration
	// Quotas holds the tolerances for the quotas of client accounts.
	Quotas quota.Bounds
	// Revocation bounds how long withdrawn keys of client accounts may work.
	Revocation access.Revocation
	Clock      timer.Service
	Dial       relay.DialFunc
	// Logger receives ordinary lines, FailureLogger those about failures and state changes.
	Logger        log.Logger
	FailureLogger log.Logger
	Version       string
	// MemoryBytes and Descriptors are the limits of the process, from which the budget for clients follows; 0 means none.
	MemoryBytes int64
	Descriptors int
}

// Listeners holds the `host:port` addresses on which the node listens. Metrics and Peer may be empty; without Peer, no
// other node can read the member records from this one.
type Listeners struct {
	Callers, Relay, Local, Ready, Metrics, Peer string
}

// RetryBudget bounds the retries of the whole fleet at one service: Ratio of its requests plus Extra per Window.
type RetryBudget struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// OperatorConfig is a complete configuration with the limits on caller requests.
type OperatorConfig struct {
	Configuration model.Configuration
	Accounts      []model.ClientAccount
	Limits        Limits
}

// Limits bounds what a caller may send; zero means no bound. Headers and idle connections have the fixed bounds of the
// caller listener, which are wider than those of any configuration so far.
type Limits struct {
	BodyBytes int64
}

// HeartbeatReceiver receives the heartbeats of the target on this VM.
type HeartbeatReceiver interface {
	Announce(ctx context.Context, h agent.Announcement) error
	Withdraw(ctx context.Context, service, id string) error
	Refused(id string, err error)
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.FailureLogger == nil {
		c.FailureLogger = c.Logger
	}
	if c.Dial == nil {
		c.Dial = Dialer().DialContext
	}
	c.Self.PeerAddress = c.Listeners.Peer
	return c
}
