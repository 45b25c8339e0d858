package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/auburnwinch/auburnwinch/internal/admin"
	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
	"github.com/auburnwinch/auburnwinch/internal/fakes/peers"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	sizedSecret = "bench-secret-of-the-fleet-0123456789"
	sizedToken  = "bench-token-of-the-operator-0123456789"
	// writeEvery is the share of routes and of requests that are not idempotent and carry keys: one in this many.
	writeEvery       = 10
	sizedTargetPort  = 9000
	announceInterval = 2 * time.Second
	sizedStart       = 30 * time.Second
	registerWorkers  = 16
)

// sizedNode is one real node process in a fleet of the design size that stand-ins play.
type sizedNode struct {
	network   int
	settings  config.Settings
	path      string
	directory string
	tickets   []model.Ticket
	platform  *cloud.Platform
	store     *store.Store
	fleet     *peers.Fleet
	process   *procs.Process
	targets   []model.Target
	// incarnation is that of the running node.
	incarnation uint64
	// targetBytes counts the bytes between the agent and the targets on the VM of the node.
	targetBytes peers.Traffic
	servers     []*http.Server
	cancel      context.CancelFunc
	group       conc.WaitGroup
}

// startSized starts everything but the node itself. With oneDomain all members stand in the failure domain of the node.
func startSized(ctx context.Context, network int, oneDomain bool, seed uint64) (s *sizedNode, err error) {
	s = &sizedNode{network: network, tickets: []model.Ticket{sizedTicket()}, targets: scaledTargets(0, designNodes)}
	ctx, s.cancel = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	if s.directory, err = os.MkdirTemp("", "auburnwinch-bench-"); err != nil {
		return s, eris.Wrap(err, "make a directory for settings and logs")
	}
	if s.platform, err = cloud.Start(cloud.Config{TableAddress: s.own(7001), ObjectAddress: s.own(7002), ControlAddress: s.own(7003)}); err != nil {
		return s, err
	}
	s.settings = s.nodeSettings()
	if s.store, err = store.New(store.Config{Platform: s.settings.Platform}); err != nil {
		return s, err
	}
	if _, err = s.store.FileTicket(ctx, s.tickets[0]); err != nil {
		return s, err
	}
	records := s.records(oneDomain)
	if err = s.register(ctx, records); err != nil {
		return s, err
	}
	s.fleet, err = peers.Start(peers.Config{
		Real: s.settings.Listeners.Peers, Secret: []byte(sizedSecret), Records: records, Tickets: s.tickets, Seed: seed,
	})
	if err != nil {
		return s, err
	}
	return s, s.startTargets(ctx)
}

// Close ends all parts and removes the files.
func (s *sizedNode) Close() {
	s.cancel()
	if s.process != nil {
		s.process.Close()
	}
	if s.fleet != nil {
		s.fleet.Close()
	}
	for _, server := range s.servers {
		_ = server.Close() // The process ends its use of the listener in any case.
	}
	s.group.Wait()
	if s.platform != nil {
		_ = s.platform.Close() // Nobody uses the stand-in any more.
	}
	_ = os.RemoveAll(s.directory) // A leftover in the temporary directory does no harm.
}

func (s *sizedNode) own(port int) string { return fmt.Sprintf("127.%d.255.2:%d", s.network, port) }

func (s *sizedNode) nodeSettings() config.Settings {
	self := scaledNode(0)
	return config.Settings{
		Node: config.NodeIdentity{ID: self.Ref.ID, Region: self.Region, FailureDomain: self.Domain},
		Listeners: config.Listeners{
			Callers: s.own(8080), Relay: s.own(7402), Peers: s.own(7401), Local: s.own(7403), Admin: s.own(7404),
		},
		Seeds:       []string{s.address(1, 7401), s.address(2, 7401)},
		FleetSecret: sizedSecret, OperatorToken: sizedToken, Platform: s.platform.Settings(),
		ShutdownTimeout: model.Duration(5 * time.Second), LogLevel: config.LevelInfo,
	}
}

func (s *sizedNode) address(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.network, 1+i/250, 1+i%250, port)
}

// records returns those of all nodes but the first, which is the real one.
func (s *sizedNode) records(oneDomain bool) []member.NodeRecord {
	var records []member.NodeRecord
	for i := 1; i < designNodes; i++ {
		n := scaledNode(i)
		n.PeerAddress, n.RelayAddress, n.CallerAddress = s.address(i, 7401), s.address(i, 7402), s.address(i, 8080)
		if oneDomain {
			n.Domain, n.Region = scaledNode(0).Domain, scaledNode(0).Region
		}
		records = append(records, member.NodeRecord{Node: n, Version: 2, ContentVersion: 2, Ticket: 1, Targets: scaledTargets(i, designNodes)})
	}
	return records
}

// sizedTicket holds all services; one route in writeEvery is not idempotent.
func sizedTicket() model.Ticket {
	c := scaledConfiguration(designRoutes)
	for i := range c.Services {
		for j := range c.Services[i].Routes {
			if r := &c.Services[i].Routes[j]; j%writeEvery == 0 {
				r.Methods, r.Idempotent = []string{http.MethodPost}, false
			}
		}
	}
	return model.Ticket{Number: 1, Author: "bench", Summary: "design size", Services: c.Services}
}

func (s *sizedNode) register(ctx context.Context, records []member.NodeRecord) error {
	workers := pool.New().WithErrors().WithMaxGoroutines(registerWorkers)
	for i := range records {
		workers.Go(func() error { return s.store.RegisterNode(ctx, records[i].Node) })
	}
	return workers.Wait()
}

// startTargets runs the targets on the VM of the node, which announce themselves from then on.
func (s *sizedNode) startTargets(ctx context.Context) error {
	for i, t := range s.targets {
		address := s.own(sizedTargetPort + i)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrap(err, "open a target; choose another network")
		}
		server := &http.Server{Handler: http.HandlerFunc(peers.ServeTarget)}
		s.servers = append(s.servers, server)
		s.group.Go(func() {
			_ = server.Serve(s.targetBytes.Listener(listener)) // It ends when the server is closed.
		})
		s.group.Go(func() { s.announce(ctx, t, address) })
	}
	return nil
}

func (s *sizedNode) announce(ctx context.Context, t model.Target, address string) {
	body, err := json.Marshal(map[string]any{
		"service": t.Ref.Service, "id": t.Ref.ID, "incarnation": t.Ref.Incarnation, "address": address, "slots": t.Slots,
	})
	if err != nil {
		return
	}
	ticks := time.NewTicker(announceInterval)
	defer ticks.Stop()
	for ctx.Err() == nil {
		response, err := http.Post("http://"+s.settings.Listeners.Local+"/v1/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close() // The answer has no body.
		}
		select {
		case <-ctx.Done():
		case <-ticks.C:
		}
	}
}

// startNode starts the real node and returns the times until it was healthy and until it saw every target of the other nodes.
func (s *sizedNode) startNode(ctx context.Context, programs string) (served, complete time.Duration, err error) {
	data, err := yaml.Marshal(s.settings)
	if err != nil {
		return 0, 0, eris.Wrap(err, "encode the settings")
	}
	s.path = filepath.Join(s.directory, "node.yaml")
	if err := os.WriteFile(s.path, data, 0o600); err != nil {
		return 0, 0, eris.Wrap(err, "write the settings")
	}
	begin := time.Now()
	if s.process, err = procs.StartProgram("node", s.directory, filepath.Join(programs, "auburnwinch"), "node", "--settings", s.path); err != nil {
		return 0, 0, err
	}
	for time.Since(begin) < sizedStart {
		time.Sleep(20 * time.Millisecond)
		var health admin.Health
		if served == 0 {
			if s.admin(ctx, "/health", &health) == nil && health.Ready {
				served = time.Since(begin)
			}
			continue
		}
		var dump procsView
		if s.admin(ctx, "/state?section=view", &dump) == nil && dump.count() >= designTargets-len(s.targets) {
			return served, time.Since(begin), nil
		}
		time.Sleep(200 * time.Millisecond) // The dump itself takes processor time.
	}
	log, _ := os.ReadFile(filepath.Join(s.directory, "node.log")) // The error says the rest.
	return 0, 0, eris.Errorf("the node does not see all targets within %s; its log ends with %s", sizedStart, log[max(0, len(log)-2000):])
}

type procsView struct {
	View struct {
		Services []struct {
			Candidates []json.RawMessage `json:"candidates"`
		} `json:"services"`
	} `json:"view"`
}

func (v *procsView) count() (count int) {
	for _, service := range v.View.Services {
		count += len(service.Candidates)
	}
	return count
}

func (s *sizedNode) admin(ctx context.Context, path string, into any) error {
	body, err := s.fetch(ctx, path)
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(body, into), "decode the answer")
}

// change files a ticket for one service and lets the members have it.
func (s *sizedNode) change(ctx context.Context) error {
	t := model.Ticket{Number: uint64(len(s.tickets) + 1), Author: "bench", Summary: "other time"}
	spec := s.tickets[0].Services[len(s.tickets)%designServices]
	spec.Queue.Wait = model.Duration(time.Duration(100+len(s.tickets)) * time.Millisecond)
	t.Services = []model.ServiceSpec{spec}
	if err := ticket.Validate(t); err != nil {
		return err
	}
	if _, err := s.store.FileTicket(ctx, t); err != nil {
		return err
	}
	s.tickets = append(s.tickets, t)
	s.fleet.Accept(t)
	return nil
}
