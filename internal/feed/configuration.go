package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/roster"
)

const (
	configurationMethod = serviceName + ".Configuration"
	// configurationPeers is the number of nodes of the same failure domain, and then of others of the region, that are asked
	// for a configuration.
	configurationPeers = 3
	// configurationTimeout bounds one call for a configuration, which the node answers from memory.
	configurationTimeout = 500 * time.Millisecond
	// confirmationStep is by how much an early response must renew a confirmation. It is more than the time between two nodes
	// of a failure domain, by which the same confirmation seems older to the follower, and less than a long poll.
	confirmationStep = 500 * time.Millisecond
	// unconfirmedAge stands for a configuration that was never confirmed.
	unconfirmedAge = time.Hour
)

// ErrNoConfiguration means that none of the nodes that were asked has a newer configuration.
var ErrNoConfiguration = eris.New("no node that responded has a newer configuration; ask the store, or others later")

// Confirmations tracks when the configuration in force was last known to be the newest one.
type Confirmations interface {
	// ConfirmedAt returns the time, which is zero if it is unknown.
	ConfirmedAt() time.Time
	// Confirm records that the configuration with the number was the newest one at the time.
	Confirm(number uint64, at time.Time)
}

// ConfigurationArgs request the row of a configuration newer than Number; net/rpc requires exported types.
type ConfigurationArgs struct{ Number uint64 }

// ConfigurationReply holds the row of the configuration in force, unless it is not newer.
type ConfigurationReply struct {
	Row    roster.Row
	Found  bool
	Number uint64
	Confirmation
}

// Confirmation tells when the configuration in force at a node, or its rows, were last known to be as the store has them.
type Confirmation struct {
	IsConfirmed bool
	// Age is the time from then until the node received the call, negative if it was during the call.
	Age time.Duration
}

// Configuration returns the row of the configuration in force if it is newer than that of the caller.
func (f *Feed) Configuration(args ConfigurationArgs, reply *ConfigurationReply) error {
	f.table.observeNumber(args.Number)
	reply.Confirmation = f.table.confirmation(f.table.config.Clock.Now())
	reply.Number = f.table.number()
	if current := f.table.config.ConfigurationRow; current != nil && reply.Number > args.Number {
		reply.Row, reply.Found = current()
	}
	return nil
}

// FetchConfiguration asks other nodes for a configuration newer than that in force here. It fails with ErrNoConfiguration
// if none of them has one.
func (t *Table) FetchConfiguration(ctx context.Context) (roster.Row, error) {
	for _, p := range t.configurationSources() {
		asked := t.config.Clock.Now()
		reply, err := t.askConfiguration(ctx, p)
		switch {
		case ctx.Err() != nil:
			return roster.Row{}, ctx.Err()
		case err != nil:
			continue // The node is gone, frozen or runs a build without this call.
		case reply.Found && reply.Number > t.number():
			return reply.Row, nil
		}
		t.observeConfirmation(reply.Number, reply.Confirmation, asked)
	}
	return roster.Row{}, ErrNoConfiguration
}

// configurationSources returns the node that is followed or has introduced others, some of the failure domain, and some others
// of the region.
func (t *Table) configurationSources() []Peer {
	t.mu.Lock()
	followed := t.source.Peer
	if followed.Address == "" {
		followed = t.introducer
	}
	t.mu.Unlock()
	var own, region []Peer
	for _, row := range t.cache.allRows() {
		record, err := roster.DecodeRecord(row)
		switch {
		case err != nil, record.Leaving, record.Node.PeerAddress == "", record.Node.Ref.ID == t.config.Self:
		case record.Node.Domain == t.config.Domain:
			own = append(own, peerOf(record))
		case record.Node.Region == t.config.Region:
			region = append(region, peerOf(record))
		}
	}
	sources := append(sample(own, followed), sample(region, followed)...)
	if followed.Address != "" {
		sources = append([]Peer{followed}, sources...)
	}
	return sources
}

// sample returns some of the peers in random order, without the one to skip.
func sample(peers []Peer, skip Peer) []Peer {
	var picked []Peer
	for _, i := range rand.Perm(len(peers)) {
		if len(picked) < configurationPeers && peers[i].ID != skip.ID {
			picked = append(picked, peers[i])
		}
	}
	return picked
}

func (t *Table) askConfiguration(ctx context.Context, p Peer) (ConfigurationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	var reply ConfigurationReply
	if err := t.callOnce(ctx, p.Address, configurationMethod, ConfigurationArgs{Number: t.number()}, &reply); err != nil {
		return ConfigurationReply{}, err // A late response may still be written to reply.
	}
	return reply, nil
}

// confirmation returns that of the configuration in force here, for a call that was received at the time. It is read before
// the number, so that it is never newer than what the number stands for.
func (t *Table) confirmation(received time.Time) Confirmation {
	if t.config.Confirmations == nil {
		return Confirmation{}
	}
	return confirmationOf(t.config.Confirmations.ConfirmedAt(), received)
}

// confirmationOf returns the confirmation of the time, which is zero if there is none, for a call that was received then.
func confirmationOf(at, received time.Time) Confirmation {
	return Confirmation{IsConfirmed: !at.IsZero(), Age: received.Sub(at)}
}

// confirmationAge returns the age of the confirmation of the configuration in force here. It is zero only if the node does not
// keep any.
func (t *Table) confirmationAge() time.Duration {
	if t.config.Confirmations == nil {
		return 0
	}
	if c := t.confirmation(t.config.Clock.Now()); c.IsConfirmed {
		return max(1, c.Age)
	}
	return unconfirmedAge
}

// renews reports whether a response to the call would renew the caller's confirmation.
func (t *Table) renews(args WatchArgs, received time.Time) bool {
	if args.ConfirmationAge <= 0 || args.Number != t.number() {
		return false
	}
	c := t.confirmation(received)
	return c.IsConfirmed && args.ConfirmationAge-c.Age >= confirmationStep
}

// observeConfirmation passes on the confirmation of another node. The time that the call took to get there makes it older.
func (t *Table) observeConfirmation(number uint64, c Confirmation, asked time.Time) {
	if t.config.Confirmations != nil && c.IsConfirmed {
		t.config.Confirmations.Confirm(number, asked.Add(-c.Age))
	}
}
