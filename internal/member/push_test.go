package member

import (
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

// pushes returns the datagrams among the commands that carry urgent rumours.
func pushes(cmds []Cmd) (sent []*Datagram) {
	for _, cmd := range cmds {
		if s, ok := cmd.(SendCmd); ok && s.Datagram.Kind == KindPush {
			sent = append(sent, s.Datagram)
		}
	}
	return sent
}

// known returns a module that holds n other nodes and has passed on what it knows of them.
func known(n int) (*Module, time.Time) {
	now := time.Unix(1000, 0)
	m := New(Config{Self: simModel(0, 1), Seed: 1, Now: now})
	m.Update(BootstrapMsg{Now: now})
	var reply FetchReply
	for i := range n {
		node := simModel(i+1, 1)
		reply.Rumours = append(reply.Rumours, Rumour{
			Key: refKey(node.Ref), Version: 1, ContentVersion: 1, Status: StatusAlive, Record: encodeRecord(&NodeRecord{Node: node}),
		})
	}
	m.Update(FetchReplyMsg{Now: now, Reply: reply})
	return m, now.Add(time.Minute)
}

// Guards against a burst of deaths that takes datagrams of its own for each of them, and against a single death or a
// leaving target that waits for others.
func TestStatusesShareDatagrams(t *testing.T) {
	m, now := known(40)
	total := 0
	for i := range 30 {
		status := Rumour{Key: refKey(simModel(i+1, 1).Ref), Version: 1, ContentVersion: 1, Status: StatusSuspect, Urgent: true}
		sent := pushes(m.Update(FetchReplyMsg{Now: now, Gossip: true, Reply: FetchReply{Rumours: []Rumour{status}}}))
		total += len(sent)
		if i == 0 {
			require.Len(t, sent, pushFanout, "the first status goes out at once")
		}
		now = now.Add(20 * time.Millisecond)
	}
	require.LessOrEqual(t, total, 3*pushFanout, "30 statuses within 600 ms")
	targets := simTargets(0, 1)
	m.Update(LocalMsg{Now: now, Local: LocalState{Targets: targets}})
	targets = []model.Target{targets[0]}
	targets[0].State = model.TargetDraining
	now = now.Add(time.Millisecond)
	require.Len(t, pushes(m.Update(LocalMsg{Now: now, Local: LocalState{Targets: targets}})), pushFanout, "a drain never waits")
}
