package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// fleet simulates several agents of one service. Their records arrive late and in any order; calls between them always
// succeed.
type fleet struct {
	t       *rapid.T
	now     time.Time
	modules []*Module
	// records holds all versions of each node's record; seen holds, for each node, the latest version it received from
	// each other node.
	records     [][][]model.PoisonEntry
	seen        [][]int
	running     [][]uint64
	targetsLost map[uint64]int
	runs        map[uint64]int
}

const service = "kassa"

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{t: t, now: start, targetsLost: map[uint64]int{}, runs: map[uint64]int{}}
	f.records, f.running = make([][][]model.PoisonEntry, n), make([][]uint64, n)
	for i := range n {
		f.modules = append(f.modules, New(Config{Self: ref(i)}))
		f.records[i] = [][]model.PoisonEntry{nil}
		f.seen = append(f.seen, make([]int, n))
	}
	return f
}

func ref(i int) model.NodeRef { return model.NodeRef{ID: fmt.Sprint("n", i), Incarnation: 1} }

// update processes msg at agent i and carries out the resulting commands; calls between agents always succeed.
func (f *fleet) update(i int, msg Msg) (granted bool) {
	for _, cmd := range f.modules[i].Update(msg) {
		switch c := cmd.(type) {
		case PublishCmd:
			f.records[i] = append(f.records[i], c.Entries)
		case TrialCmd:
			granted = c.Granted
		case BroadcastCmd:
			f.broadcast(i, c)
		}
	}
	return granted
}

func (f *fleet) broadcast(i int, c BroadcastCmd) {
	done := BroadcastDoneMsg{Now: f.now, Service: service, Fingerprints: c.Fingerprints}
	for j, m := range f.modules {
		done.Running = append(done.Running, f.running[j]...)
		if j == i {
			continue
		}
		msg := SuspectMsg{Now: f.now, Node: ref(i), Service: service, Fingerprints: c.Fingerprints}
		done.Crashed = append(done.Crashed, m.Update(msg)[0].(SuspectCmd).Crashed...)
	}
	f.update(i, done)
}

// gossip delivers a newer version of one node's record to another node.
func (f *fleet) gossip() {
	from, to := f.node("from"), f.node("to")
	if from == to || f.seen[to][from] == len(f.records[from])-1 {
		return
	}
	version := rapid.IntRange(f.seen[to][from]+1, len(f.records[from])-1).Draw(f.t, "version")
	f.seen[to][from] = version
	f.update(to, ReportMsg{Now: f.now, Node: ref(from), Entries: f.records[from][version]})
}

func (f *fleet) node(label string) int {
	return rapid.IntRange(0, len(f.modules)-1).Draw(f.t, label)
}

// send starts the request at an agent; if the request is suspect there, it asks each possible authority for a trial.
func (f *fleet) send(fp uint64) {
	i := f.node("agent")
	switch f.modules[i].Snapshot().Verdict(service, fp) {
	case Clear:
		f.runs[fp]++
		f.running[i] = append(f.running[i], fp)
	case Suspect:
		for a := range f.modules {
			if f.update(a, TrialMsg{Now: f.now, Service: service, Fingerprint: fp}) {
				f.trial(a, i, fp)
				return
			}
		}
	}
}

// trial runs the request alone on a target; its result may be lost.
func (f *fleet) trial(authority, i int, fp uint64) {
	f.runs[fp]++
	survived := !crashesTarget(fp)
	if !survived {
		f.crash(i, []uint64{fp})
	}
	if rapid.Bool().Draw(f.t, "result arrives") {
		f.update(authority, TrialEndMsg{Now: f.now, Service: service, Fingerprint: fp, Survived: survived})
	}
}

// finish completes the requests of one agent; if one of them crashes the target, the others fail with it.
func (f *fleet) finish(i int) {
	all := f.running[i]
	f.running[i] = nil
	if slices.ContainsFunc(all, crashesTarget) {
		f.crash(i, all)
	}
}

func (f *fleet) crash(i int, all []uint64) {
	msg := CrashMsg{Now: f.now, Target: model.TargetRef{Service: service, ID: fmt.Sprint(i)}}
	for _, fp := range all {
		if crashesTarget(fp) {
			f.targetsLost[fp]++
		}
		msg.InFlight = append(msg.InFlight, Request{Fingerprint: fp, Idempotent: idempotent(fp)})
	}
	f.update(i, msg)
}

// Fingerprints up to 2 crash the target; even fingerprints belong to idempotent requests.
func crashesTarget(fp uint64) bool { return fp <= 2 }
func idempotent(fp uint64) bool    { return fp%2 == 0 }

// mayStart applies the preconditions of the guarantee: two runs may overlap before the first crash, afterwards a single
// caller sends repeatedly; the owner of the idempotency key allows one run at a time of a non-idempotent request.
func (f *fleet) mayStart(fp uint64) bool {
	same := 0
	for _, running := range f.running {
		for _, r := range running {
			if r == fp {
				same++
			}
		}
	}
	return same == 0 || idempotent(fp) && same < 2 && f.targetsLost[fp] == 0
}

// Guards against a third target lost to one request, against a second run of a non-idempotent request after a crash,
// and against a harmless request in flight at a crash that stays quarantined.
func TestFleetLosesAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt, 4)
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			switch fp := rapid.Uint64Range(1, 6).Draw(rt, "fingerprint"); rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				f.gossip()
			case 1:
				f.finish(f.node("finishing"))
			default:
				if f.mayStart(fp) {
					f.send(fp)
				}
			}
			for fp, n := range f.targetsLost {
				if n > 2 || !idempotent(fp) && f.runs[fp] > 1 {
					rt.Fatalf("fingerprint %d took down %d targets in %d runs", fp, n, f.runs[fp])
				}
			}
		}
		f.now = f.now.Add(defaultExpiry)
		for i := range f.modules {
			f.update(i, TickMsg{Now: f.now})
			for fp := uint64(1); fp <= 6; fp++ {
				if v := f.modules[i].Snapshot().Verdict(service, fp); v != Clear {
					rt.Fatalf("fingerprint %d is still %s", fp, v)
				}
			}
		}
	})
}

// Guards against two trials of one suspect request, also when the result of the first is lost.
func TestSingleTrial(t *testing.T) {
	m := New(Config{Self: ref(0)})
	m.Update(CrashMsg{Now: start, Target: model.TargetRef{Service: service}, InFlight: []Request{{Fingerprint: 2, Idempotent: true}}})
	trialMsg := TrialMsg{Now: start, Service: service, Fingerprint: 2}
	if c := m.Update(trialMsg); c[0].(TrialCmd).Granted {
		t.Fatal("granted before the suspicion was sent")
	}
	m.Update(BroadcastDoneMsg{Now: start, Service: service, Fingerprints: []uint64{2}, Running: []uint64{2}})
	if c := m.Update(trialMsg); c[0].(TrialCmd).Granted {
		t.Fatal("granted while the request runs elsewhere")
	}
	m.Update(BroadcastDoneMsg{Now: start, Service: service, Fingerprints: []uint64{2}})
	if c := m.Update(trialMsg); !c[0].(TrialCmd).Granted {
		t.Fatal("not granted")
	}
	if c := m.Update(trialMsg); c[0].(TrialCmd).Granted {
		t.Fatal("granted twice")
	}
}

// Guards against an unbounded number of entries, and against evicting a quarantine when many suspects arrive.
func TestEntriesAreBounded(t *testing.T) {
	m := New(Config{Self: ref(0), MaxEntries: 10})
	m.Update(CrashMsg{Now: start, Target: model.TargetRef{Service: service}, InFlight: []Request{{Fingerprint: 1}}})
	for fp := uint64(100); fp < 200; fp++ {
		m.Update(CrashMsg{
			Now: start.Add(time.Second), Target: model.TargetRef{Service: service},
			InFlight: []Request{{Fingerprint: fp, Idempotent: true}},
		})
	}
	if len(m.entries) != 10 || m.Snapshot().Verdict(service, 1) != Quarantined {
		t.Fatalf("%d entries", len(m.entries))
	}
}
