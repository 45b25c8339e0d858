package hosted

import (
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Config holds what a node runs with; Clock, Dial, Logger and Failures may be left out.
type Config struct {
	Self      model.Node
	Listeners Listeners
	// Nodes is the table in which each node publishes its record, in the part of its failure domain.
	Nodes feed.Store
	// Configurations is the table of the operator; Decode returns nil for rows that are no configuration.
	Configurations roster.Table
	Decode         func(roster.Row) (*OperatorConfig, error)
	// CallerProtocol and Targets are what both sides speak.
	CallerProtocol edge.Protocol
	TargetProtocol agent.Protocol
	// LocalHandler and Ready make the handlers of the platform's calls.
	LocalHandler func(HeartbeatReceiver) http.Handler
	ReadyHandler func(ready func() bool) http.Handler
	// Grace is the time between the request to stop and the end of the process by force.
	Grace       time.Duration
	RetryBudget RetryBudget
	Clock       timer.Service
	Dial        relay.DialFunc
	// Logger takes ordinary lines, Failures those that explain failures and changes.
	Logger        log.Logger
	FailureLogger log.Logger
	Version       string
}

// Listeners holds the addresses, `host:port`, on which the node listens. Metrics may be empty, and Peer too: then no other
// node takes the members from this one.
type Listeners struct {
	Callers, Relay, Local, Ready, Metrics, Peer string
}

// RetryBudget is what the whole fleet may repeat at one service: Ratio of its requests, and Extra more in each Window.
type RetryBudget struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// OperatorConfig is a whole configuration with the bounds on what callers may send.
type OperatorConfig struct {
	Configuration model.Configuration
	Limits        Limits
}

// Limits bound what a caller may send; zero means no bound. Headers and idle connections have the fixed bounds of the
// callers' listener, which are wider than those of any configuration so far.
type Limits struct {
	BodyBytes int64
}

// HeartbeatReceiver takes what the target on this VM says of itself.
type HeartbeatReceiver interface {
	Announce(h agent.Announcement) error
	Withdraw(service, id string)
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
