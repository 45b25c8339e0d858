package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// targetCmd runs a stand-in target.
type targetCmd struct {
	Node        string        `help:"Address of the node's listener for targets, host:port." required:""`
	Service     string        `help:"Service that the target serves." required:""`
	ID          string        `help:"Name of the target, unique within the service." required:""`
	Listen      string        `help:"Address for requests." default:"127.0.0.1:0"`
	Control     string        `help:"Address of the control endpoint." default:"127.0.0.1:0"`
	Slots       int           `help:"Requests that the target works on at a time." default:"7"`
	ServiceTime time.Duration `help:"Median time of work per request." default:"5ms"`
	Spread      float64       `help:"Spread of the service time: sigma of a log-normal distribution." default:"0.3"`
	Records     string        `help:"File that keeps the records of runs across crashes; empty keeps them in memory."`
	Seed        uint64        `help:"Seed of the service times; zero draws one."`
}

// Run serves until SIGTERM, SIGINT or a drain request, and then shuts down gracefully.
func (c *targetCmd) Run() error {
	logger := log.With(log.NewJSONLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC, "target", c.ID)
	t, err := startTarget(targetConfig{
		Node: c.Node, Service: c.Service, ID: c.ID, Listen: c.Listen, Control: c.Control, Slots: c.Slots,
		Records: c.Records, ServiceTime: c.ServiceTime, Spread: c.Spread, Seed: c.Seed, Logger: logger, Crash: func() { os.Exit(crashExitCode) },
	})
	if err != nil {
		return err
	}
	_ = level.Info(logger).Log("msg", "target is listening", "address", t.Address(), "control", t.ControlAddress())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
	case <-t.Drained():
	}
	return t.Shutdown()
}

const (
	// crashExitCode is the exit code of a target that crashes because of headerCrash.
	crashExitCode     = 70
	announceInterval  = 2 * time.Second
	announceTimeout   = time.Second
	shutdownTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	readHeaderTimeout = 10 * time.Second
)

// targetConfig configures a target.
type targetConfig struct {
	Node, Service, ID, Listen, Control string
	Records                            string
	Slots                              int
	ServiceTime                        time.Duration
	Spread                             float64
	Seed                               uint64
	Logger                             log.Logger
	// Crash terminates the process; tests replace it.
	Crash func()
}

// target is a running target.
type target struct {
	group           conc.WaitGroup
	config          targetConfig
	incarnation     uint64
	requestListener net.Listener
	controlListener net.Listener
	server          *http.Server
	controlServer   *http.Server
	faults          faultState
	records         records
	sampler         *sampler
	cancel          context.CancelFunc
	announceDone    chan struct{}
	drainOnce       sync.Once
	drained         chan struct{}
}

func startTarget(c targetConfig) (*target, error) {
	requests, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "open request listener; choose a free address")
	}
	control, err := net.Listen("tcp", c.Control)
	if err != nil {
		_ = requests.Close()
		return nil, eris.Wrap(err, "open control listener; choose a free address")
	}
	t := &target{
		config: c, incarnation: uint64(time.Now().UnixMicro()), requestListener: requests, controlListener: control,
		sampler: newSampler(c.ServiceTime, c.Spread, c.Seed), announceDone: make(chan struct{}), drained: make(chan struct{}),
	}
	if err := t.records.open(c.Records); err != nil {
		return nil, errors.Join(err, requests.Close(), control.Close())
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: idleTimeout, ReadHeaderTimeout: readHeaderTimeout}
	t.controlServer = &http.Server{Handler: t.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.group.Go(func() { t.serveListener(t.server, requests) })
	t.group.Go(func() { t.serveListener(t.controlServer, control) })
	t.group.Go(func() { t.announce(ctx) })
	return t, nil
}

// Address returns the address of the request listener.
func (t *target) Address() string {
	return t.requestListener.Addr().String()
}

// ControlAddress returns the address of the control endpoint.
func (t *target) ControlAddress() string {
	return t.controlListener.Addr().String()
}

// Drained returns a channel that is closed when a drain is requested through the control endpoint.
func (t *target) Drained() <-chan struct{} {
	return t.drained
}

// Shutdown drains the target at its node, waits for requests in flight, withdraws the target and stops its servers.
func (t *target) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	t.notifyNode(ctx, "/v1/drain", targetRef{Service: t.config.Service, ID: t.config.ID})
	t.cancel()
	<-t.announceDone
	t.waitIdle(ctx)
	t.notifyNode(ctx, "/v1/withdraw", targetRef{Service: t.config.Service, ID: t.config.ID})
	return errors.Join(t.server.Shutdown(ctx), t.controlServer.Shutdown(ctx))
}

func (t *target) serveListener(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(t.config.Logger).Log("msg", "listener failed", "err", err)
	}
}

func (t *target) waitIdle(ctx context.Context) {
	for t.records.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}
