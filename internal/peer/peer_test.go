package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

const (
	testSecret = "a secret of the test fleet"
	patience   = 15 * time.Second
	pollEvery  = 5 * time.Millisecond
)

// DoubleReceiver is a service of the kind that other packages add.
type DoubleReceiver struct{}

// Double returns twice its argument.
func (DoubleReceiver) Double(n int, reply *int) error {
	*reply = 2 * n
	return nil
}

// Slow answers after the given time.
func (DoubleReceiver) Slow(d time.Duration, reply *int) error {
	time.Sleep(d)
	*reply = 1
	return nil
}

// Fail returns an error.
func (DoubleReceiver) Fail(int, *int) error { return errors.New("refused by the handler") }

func startPeer(t testing.TB, id string, changes ...func(*Config)) *Peer {
	t.Helper()
	c := Config{
		Self:     model.Node{Ref: model.NodeRef{ID: id}, Domain: "n1", Region: "norte"},
		Listen:   "127.0.0.1:0",
		Secret:   []byte(testSecret),
		Services: []Service{{Name: "Double", Receiver: DoubleReceiver{}}},
	}
	for _, change := range changes {
		change(&c)
	}
	p, err := New(c)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

func withSeed(seed *Peer) func(*Config) {
	return func(c *Config) { c.Seeds = []string{seed.Self().PeerAddress} }
}

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, patience, pollEvery, what)
}

func sees(p *Peer, ids ...string) bool {
	for _, id := range ids {
		if p.Snapshot().Record(id) == nil {
			return false
		}
	}
	return len(p.Snapshot().Records) == len(ids)
}

// Guards against nodes that join through a seed but do not learn each other's targets.
func TestJoinBySeed(t *testing.T) {
	a := startPeer(t, "a")
	b := startPeer(t, "b", withSeed(a))
	<-b.Joined()
	target := model.Target{Ref: model.TargetRef{Service: "courtview", ID: "c1", Incarnation: 1}, Slots: 7}
	b.SetLocal(member.LocalState{Targets: []model.Target{target}})
	require.Len(t, b.Snapshot().Record("b").Targets, 1, "own state is not visible at once")
	eventually(t, "target of b known at a", func() bool {
		r := a.Snapshot().Record("b")
		return r != nil && len(r.Targets) == 1 && r.Targets[0].Node == b.Self().Ref
	})
	require.True(t, sees(b, "a", "b"))
}

// Guards against nodes that do not find each other through the registry, or not by the seeds when it fails.
func TestJoinByRegistry(t *testing.T) {
	a := startPeer(t, "a")
	b := startPeer(t, "b", func(c *Config) {
		c.RegisteredNodes = func(context.Context) ([]model.Node, error) { return []model.Node{a.Self()}, nil }
	})
	c := startPeer(t, "c", withSeed(b), func(c *Config) {
		c.RegisteredNodes = func(context.Context) ([]model.Node, error) { return nil, errors.New("platform is away") }
	})
	for _, p := range []*Peer{a, b, c} {
		eventually(t, "all nodes known", func() bool { return sees(p, "a", "b", "c") })
	}
}

// Guards against a crash that is not detected, a graceful exit that is only detected as a crash, and a restart that
// the others mistake for the earlier run.
func TestCrashExitAndRestart(t *testing.T) {
	a := startPeer(t, "a")
	b, c, d := startPeer(t, "b", withSeed(a)), startPeer(t, "c", withSeed(a)), startPeer(t, "d", withSeed(a))
	eventually(t, "all nodes known", func() bool { return sees(a, "a", "b", "c", "d") && sees(b, "a", "b", "c", "d") })
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return sees(a, "a", "b", "d") }, 3*time.Second, pollEvery, "exit of c")
	d.closing.Do(d.stop)
	eventually(t, "crash of d", func() bool { return sees(a, "a", "b") && sees(b, "a", "b") })
	again := startPeer(t, "d", withSeed(b))
	eventually(t, "new run of d", func() bool {
		r := a.Snapshot().Record("d")
		return r != nil && r.Node.Ref == again.Self().Ref
	})
}

// Guards against a ticket number that does not reach the hook, or a hook that names the wrong peer.
func TestTicketBehind(t *testing.T) {
	var peer atomic.Value
	var number atomic.Uint64
	a := startPeer(t, "a")
	b := startPeer(t, "b", withSeed(a), func(c *Config) {
		c.OnNewerTicket = func(p model.Node, n uint64) {
			peer.Store(p)
			number.Store(n)
		}
	})
	eventually(t, "both nodes known", func() bool { return sees(a, "a", "b") })
	a.SetLocal(member.LocalState{Ticket: 7})
	eventually(t, "hook called", func() bool { return number.Load() == 7 })
	require.Equal(t, a.Self(), peer.Load())
	b.SetLocal(member.LocalState{Ticket: 7})
	eventually(t, "number of b known at a", func() bool { return a.Snapshot().Record("b").Ticket == 7 })
}

// Guards against snapshots that are reported out of order or not at all.
func TestOnChange(t *testing.T) {
	var last atomic.Pointer[member.Snapshot]
	a := startPeer(t, "a")
	b := startPeer(t, "b", withSeed(a), func(c *Config) {
		c.OnChange = func(s *member.Snapshot) {
			if old := last.Swap(s); old != nil && old.Generation > s.Generation {
				t.Errorf("generation %d after %d", s.Generation, old.Generation)
			}
		}
	})
	for n := range 20 {
		a.SetLocal(member.LocalState{Poison: []model.PoisonEntry{{Service: "kassa", Fingerprint: uint64(n)}}})
	}
	eventually(t, "last change reported", func() bool {
		s := last.Load()
		return s != nil && s.Record("a") != nil && len(s.Record("a").Poison) == 1 && s.Record("a").Poison[0].Fingerprint == 19
	})
	require.Equal(t, last.Load().Generation, b.Snapshot().Generation)
}

// Guards against settings that start a node which nobody can reach or authenticate.
func TestConfigIsChecked(t *testing.T) {
	good := Config{Self: model.Node{Ref: model.NodeRef{ID: "a"}}, Listen: "127.0.0.1:0", Secret: []byte(testSecret)}
	for name, change := range map[string]func(*Config){
		"no ID":               func(c *Config) { c.Self.Ref.ID = "" },
		"short secret":        func(c *Config) { c.Secret = []byte("short") },
		"no address":          func(c *Config) { c.Listen = "" },
		"unspecified address": func(c *Config) { c.Listen = "0.0.0.0:0" },
		"host name":           func(c *Config) { c.Self.PeerAddress = "localhost:7400" },
		"service twice":       func(c *Config) { c.Services = []Service{{Name: "Peer", Receiver: DoubleReceiver{}}} },
	} {
		c := good
		change(&c)
		p, err := New(c)
		require.Error(t, err, name)
		require.Nil(t, p, name)
	}
}
