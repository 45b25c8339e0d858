package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/access"
	"github.com/auburnwinch/auburnwinch/internal/hosted"
	"github.com/auburnwinch/auburnwinch/internal/quota"
	"github.com/auburnwinch/auburnwinch/internal/spool"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/auburnwinch/auburnwinch/platform"
)

// hostedCmd runs the node as a sidecar of a target on a hosted platform.
type hostedCmd struct {
	Settings string `env:"AUBURNWINCH_SETTINGS" required:"" placeholder:"FILE" help:"Settings file of the platform."`
	Check    bool   `help:"Check the settings and exit without starting."`
}

// nodesTable is the name of the table in which nodes publish their records.
const nodesTable = "nodes"

// Run serves until SIGTERM or SIGINT, then shuts down gracefully; a second signal terminates the process immediately.
func (c *hostedCmd) Run(out io.Writer) error {
	settings, err := platform.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		_, err = fmt.Fprintf(out, "%s: settings of node %s are valid\n", c.Settings, settings.Node)
		return err
	}
	configureGC(settings.MemoryBytes)
	lines := spool.New(spool.Config{Out: out})
	defer lines.Close()
	n, err := hosted.New(hostedConfig(settings, lines))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	reload := newReloader(c.Settings, settings, n)
	defer reload.close()
	return n.Run(ctx)
}

func hostedConfig(s *platform.Settings, lines *spool.Spool) hosted.Config {
	self := model.Node{
		Ref:    model.NodeRef{ID: s.Node, Incarnation: uint64(time.Now().UnixMicro())},
		Domain: s.Domain, Region: s.Region, RelayAddress: s.RelayAddress, CallerAddress: s.CallerAddress,
	}
	store := platform.NewStore(platform.StoreConfig{Address: s.StoreAddress, Dial: hosted.Dialer().DialContext})
	c := hosted.Config{
		Self: self, Nodes: store.Table(nodesTable), Configurations: store.UnpartitionedTable(platform.OperatorTable),
		Decode: platform.DecodeConfiguration, CallerProtocol: platform.CallerProtocol{Service: s.Service}, TargetProtocol: platform.TargetProtocol{},
		Listeners: hosted.Listeners{
			Callers: s.CallerAddress, Relay: s.RelayAddress, Local: s.LocalAddress, Ready: s.ReadyAddress,
		},
		LocalHandler: func(h hosted.HeartbeatReceiver) http.Handler { return platform.Heartbeats(h) }, ReadyHandler: platform.Readiness,
		Grace: s.Grace, RetryBudget: hosted.RetryBudget{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow},
		ConfigurationBound: s.ConfigurationBound,
		Quotas:             quota.Bounds{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		Revocation:         access.Revocation{Strict: s.StrictRevoke, Bound: s.RevokeBound},
		Logger:             log.With(log.NewJSONLogger(lines.Ordinary()), "node", s.Node, "ts", log.DefaultTimestampUTC),
		FailureLogger:      log.With(log.NewJSONLogger(lines.Important()), "node", s.Node, "ts", log.DefaultTimestampUTC),
		Version:            version(),
		MemoryBytes:        s.MemoryBytes, Descriptors: s.Descriptors,
	}
	if s.MetricsPort > 0 {
		c.Listeners.Metrics = net.JoinHostPort(s.Address, strconv.Itoa(s.MetricsPort))
	}
	if s.PeerPort > 0 {
		c.Listeners.Peer = net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPort))
	}
	return c
}
