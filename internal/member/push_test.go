package member

import (
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

// pushDatagrams returns the push datagrams among the commands.
func pushDatagrams(cmds []Cmd) (sent []*Datagram) {
	for _, cmd := range cmds {
		if s, ok := cmd.(SendCmd); ok && s.Datagram.Kind == KindPush {
			sent = append(sent, s.Datagram)
		}
	}
	return sent
}

// newModuleWithNodes returns a module that knows n other nodes and has finished gossiping about them.
func newModuleWithNodes(n int) (*Module, time.Time) {
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

// Guards against a burst of failures that is pushed with separate datagrams for each status, and against a single
// failure or a draining target that is delayed to share a datagram.
func TestStatusesShareDatagrams(t *testing.T) {
	m, now := newModuleWithNodes(40)
	total := 0
	for i := range 30 {
		status := Rumour{Key: refKey(simModel(i+1, 1).Ref), Version: 1, ContentVersion: 1, Status: StatusSuspect, Urgent: true}
		sent := pushDatagrams(m.Update(FetchReplyMsg{Now: now, Gossip: true, Reply: FetchReply{Rumours: []Rumour{status}}}))
		total += len(sent)
		if i == 0 {
			require.Len(t, sent, pushFanout, "the first status is pushed immediately")
		}
		now = now.Add(20 * time.Millisecond)
	}
	require.LessOrEqual(t, total, 3*pushFanout, "30 statuses within 600 ms")
	targets := simTargets(0, 1)
	m.Update(LocalMsg{Now: now, Local: LocalState{Targets: targets}})
	targets = []model.Target{targets[0]}
	targets[0].State = model.TargetDraining
	now = now.Add(time.Millisecond)
	require.Len(t, pushDatagrams(m.Update(LocalMsg{Now: now, Local: LocalState{Targets: targets}})), pushFanout, "a drain is pushed immediately")
}
