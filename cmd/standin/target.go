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

// targetCmd runs one target.
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

// Run serves until SIGTERM, then drains.
func (c *targetCmd) Run() error {
	logger := log.With(log.NewJSONLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC, "target", c.ID)
	t, err := startTarget(targetConfig{
		Node: c.Node, Service: c.Service, ID: c.ID, Listen: c.Listen, Control: c.Control, Slots: c.Slots,
		Records: c.Records, ServiceTime: c.ServiceTime, Spread: c.Spread, Seed: c.Seed, Logger: logger, Crash: func() { os.Exit(crashStatus) },
	})
	if err != nil {
		return err
	}
	_ = level.Info(logger).Log("msg", "target listens", "address", t.Address(), "control", t.ControlAddress())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
	case <-t.Drained():
	}
	return t.Shutdown()
}

const (
	// crashStatus is the exit status of a target that crashes on request.
	crashStatus       = 70
	announceInterval  = 2 * time.Second
	announceTimeout   = time.Second
	shutdownTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	readHeaderTimeout = 10 * time.Second
)

// targetConfig describes a target.
type targetConfig struct {
	Node, Service, ID, Listen, Control string
	Records                            string
	Slots                              int
	ServiceTime                        time.Duration
	Spread                             float64
	Seed                               uint64
	Logger                             log.Logger
	// Crash ends the process; tests replace it.
	Crash func()
}

// target is a running target.
type target struct {
	group       conc.WaitGroup
	config      targetConfig
	incarnation uint64
	requests    net.Listener
	control     net.Listener
	server      *http.Server
	controller  *http.Server
	faults      faults
	records     records
	work        *work
	cancel      context.CancelFunc
	announced   chan struct{}
	drain       sync.Once
	drained     chan struct{}
}

func startTarget(c targetConfig) (*target, error) {
	requests, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "the target can't listen; choose a free address")
	}
	control, err := net.Listen("tcp", c.Control)
	if err != nil {
		_ = requests.Close()
		return nil, eris.Wrap(err, "the control endpoint can't listen; choose a free address")
	}
	t := &target{
		config: c, incarnation: uint64(time.Now().UnixMicro()), requests: requests, control: control,
		work: newWork(c.ServiceTime, c.Spread, c.Seed), announced: make(chan struct{}), drained: make(chan struct{}),
	}
	if err := t.records.open(c.Records); err != nil {
		return nil, errors.Join(err, requests.Close(), control.Close())
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: idleTimeout, ReadHeaderTimeout: readHeaderTimeout}
	t.controller = &http.Server{Handler: t.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.group.Go(func() { t.listen(t.server, requests) })
	t.group.Go(func() { t.listen(t.controller, control) })
	t.group.Go(func() { t.announce(ctx) })
	return t, nil
}

// Address returns the address for requests.
func (t *target) Address() string {
	return t.requests.Addr().String()
}

// ControlAddress returns the address of the control endpoint.
func (t *target) ControlAddress() string {
	return t.control.Addr().String()
}

// Drained is closed when a drain was asked for and no request is in flight.
func (t *target) Drained() <-chan struct{} {
	return t.drained
}

// Shutdown drains the target at its node, waits for requests in flight and withdraws it.
func (t *target) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	t.tell(ctx, "/v1/drain", departure{Service: t.config.Service, ID: t.config.ID})
	t.cancel()
	<-t.announced
	t.waitIdle(ctx)
	t.tell(ctx, "/v1/withdraw", departure{Service: t.config.Service, ID: t.config.ID})
	return errors.Join(t.server.Shutdown(ctx), t.controller.Shutdown(ctx))
}

func (t *target) listen(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(t.config.Logger).Log("msg", "listener ended", "err", err)
	}
}

func (t *target) waitIdle(ctx context.Context) {
	for t.records.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}
