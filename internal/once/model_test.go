package once

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/search"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// safeguard is a part of the protocol that a test takes out, so that the search must find the fault behind each.
type safeguard uint8

const (
	allSafeguards safeguard = iota
	withoutRecord
	withoutFence
	withoutPointer
	withoutFloors
	withoutAgentIncarnation
	withoutOwnerIncarnation
	withoutClaimRead
	withoutUnclaimed
	withoutSeenDoubt
)

const (
	edges    = 3
	agents   = 3
	maxSends = 6
	servers  = 2
)

// scenario bounds what may happen in one search.
type scenario struct {
	Name                                                          string
	Sends, Attempts, Restarts, AgentRestarts, Drops, Dups, Refuse uint8
	Plain, Join, Handover, Aging                                  bool
	// Copies lets duplicates of attempts arrive, which the transport must not make.
	Copies bool
	// Expect makes the search go on until a problem with this text is found.
	Expect string
	// Lossy makes histories lose letters when there are too many.
	Lossy bool
	// Three lets sends arrive at the third edge as well.
	Three   bool
	Without safeguard
	Limit   int
}

type stage uint8

const (
	stageNone stage = iota
	stageClaim
	stageReady
	stageAttempt
	stageFence
	stageResolve
	stageLookup
	stageFetch
	stageOver
)

// process is a send at an edge, or an edge that serves another one's Keys.Resolve.
type process struct {
	Stage               stage
	At, Attempts, Hops  uint8
	Owner, OwnerInc     uint8
	Held, NotRun        bool
	Ans, Tries          uint8
	To, ToInc, Gen      uint8
	Purpose             FencePurpose
	ReqAt, ReqInc, From uint8
	// Wanted is cleared when the requester of a server no longer waits.
	Wanted bool
}

type letterKind uint8

const (
	letterAttempt letterKind = iota + 1
	letterFence
	letterResolve
	letterClaim
	letterReply
)

// letter is a message on its way.
type letter struct {
	search.Envelope
	Kind                 letterKind
	To, ToInc            uint8
	Owner, OwnerInc      uint8
	ReqAt, ReqInc, Gen   uint8
	State, Ans           uint8
	Granted, Moved, Gone bool
}

// replies to an attempt, in letter.State.
const (
	replyRefused uint8 = iota + 1
	replySeen
	replyAnswered
)

// core is the part of a world without modules; it is comparable.
type core struct {
	Procs                                      [maxSends + servers]process
	Net                                        search.Bag[letter]
	Row, RowInc                                uint8
	Inc                                        [edges]uint8
	AgentInc                                   [agents]uint8
	Busy                                       [agents]letter
	Runs, RunID                                uint8
	Sent, Restarts, AgentRestarts, Drops, Dups uint8
	Refused                                    uint8
	Joined, Sealed, Aged                       bool
	Heir                                       uint8
	// Lossy loses letters when there are too many, which an exhaustive search must not.
	Lossy bool
	// Touched marks the agents that something refers to; the others are alike.
	Touched [agents]bool
}

type boxed[M any] struct {
	m     M
	print search.Print
}

type world struct {
	core
	owners  [edges]*boxed[*ownerModule]
	ledgers [agents]*boxed[*ledgerModule]
	problem string
}

// protocol is the model of the search.
type protocol struct {
	scenario
	seen *search.Counter
}

var moment = time.Unix(1_700_000_000, 0)

func edge(i, inc uint8) model.NodeRef {
	return model.NodeRef{ID: string('A' + rune(i)), Incarnation: uint64(inc)}
}

func agentRef(i, inc uint8) model.NodeRef {
	return model.NodeRef{ID: string('P' + rune(i)), Incarnation: uint64(inc)}
}

func indexOf(ref model.NodeRef, first byte) (uint8, uint8) {
	return ref.ID[0] - first, uint8(ref.Incarnation)
}

func modelKey(owner, inc uint8) keyID {
	return keyID{Owner: edge(owner, inc), Epoch: 1, Digest: digest{owner, inc}}
}

func newModelOwner(i, inc uint8) *boxed[*ownerModule] {
	m := newOwnerModule(ownerConfig{Self: edge(i, inc), MaxRecords: 100, MaxFloors: 10})
	m.Update(EpochMsg{Epoch: 1})
	return boxOwner(m)
}

func newModelLedger(i, inc uint8) *boxed[*ledgerModule] {
	return boxLedger(newLedgerModule(ledgerConfig{
		Self: agentRef(i, inc), MaxRecords: 100, MaxFloors: 10, MaxAnswer: math.MaxInt, MaxAnswerTotal: math.MaxInt,
	}))
}

// printShelf adds up the prints of all entries; flat returns the record without pointers.
func printShelf[R any, F comparable](s *shelf[R], flat func(R) F) (p search.Print) {
	for id, b := range s.buckets {
		p = p.Add(search.PrintOf(id))
		for key, r := range b.Records {
			p = p.Add(search.PrintOf(struct {
				e epochID
				d digest
				r F
			}{id, key, flat(r)}))
		}
	}
	for id, f := range s.floors {
		p = p.Add(search.PrintOf(epochID{Owner: model.NodeRef{ID: id, Incarnation: f.Incarnation}, Epoch: ^f.Epoch}))
	}
	return p
}

func boxOwner(m *ownerModule) *boxed[*ownerModule] {
	type flat struct {
		ownerRecord
		ref model.NodeRef
	}
	p := printShelf(&m.shelf, func(r ownerRecord) flat {
		f := flat{ownerRecord: r}
		if r.Node != nil {
			f.ref, f.Node = r.Node.Ref, nil
		}
		return f
	})
	for ref, d := range m.domains {
		p = p.Add(search.PrintOf(epochID{Owner: ref, Epoch: d.Oldest}))
	}
	return &boxed[*ownerModule]{m: m, print: p.Add(search.PrintOf(m.sealed != nil))}
}

func boxLedger(m *ledgerModule) *boxed[*ledgerModule] {
	p := printShelf(&m.shelf, func(r ledgerRecord) [2]int {
		if r.Stored != nil && r.Stored.Answer != nil {
			return [2]int{int(r.State), r.Stored.Answer.Status}
		}
		return [2]int{int(r.State)}
	})
	return &boxed[*ledgerModule]{m: m, print: p.Add(search.PrintOf(m.config.Self))}
}

// tell lets a copy of the edge's owner module handle the message.
func (w *world) tell(i uint8, msg Msg) Cmd {
	m := w.owners[i].m.clone()
	var cmds []Cmd
	w.problem = cmp.Or(w.problem, search.Guard(func() { cmds = m.Update(msg) }))
	w.owners[i] = boxOwner(m)
	return only(cmds)
}

// tellAgent lets a copy of the agent's ledger module handle the message.
func (w *world) tellAgent(j uint8, msg Msg) Cmd {
	m := w.ledgers[j].m.clone()
	var cmd Cmd
	w.problem = cmp.Or(w.problem, search.Guard(func() { cmd = m.Update(msg) }))
	w.ledgers[j] = boxLedger(m)
	return cmd
}

func (p *protocol) Initial() *world {
	w := &world{core: core{Inc: [edges]uint8{1, 1, 1}, AgentInc: [agents]uint8{1, 1, 1}, Joined: !p.Join, Lossy: p.Lossy}}
	for i := range uint8(edges) {
		w.owners[i] = newModelOwner(i, 1)
	}
	for j := range uint8(agents) {
		w.ledgers[j] = newModelLedger(j, 1)
	}
	return w
}

func (p *protocol) Print(w *world) search.Print {
	out := search.PrintOf(w.core)
	for i, o := range w.owners {
		out = out.Add(o.print.At(i))
	}
	for j, l := range w.ledgers {
		out = out.Add(l.print.At(edges + j))
	}
	return out
}

func (p *protocol) Check(w *world) string {
	if !strings.Contains(w.problem, p.Expect) {
		return ""
	}
	return w.problem
}

// Next visits what every actor of the world can do.
func (p *protocol) Next(w *world, visit func(func() string, *world)) {
	if w.problem != "" {
		return
	}
	step := func(label func() string, f func(n *world)) {
		n := *w
		f(&n)
		n.tidy(p.Without)
		visit(label, &n)
	}
	p.sends(w, step)
	for i := range w.Procs {
		p.process(w, uint8(i), step)
	}
	for i, l := range w.Net.All() {
		p.deliver(w, l, search.Label("deliver %s", l), func(label func() string, f func(n *world)) {
			step(label, func(n *world) { n.Net.Remove(i); f(n) })
		})
		if w.Dups < p.Dups && (l.Kind != letterAttempt || p.Copies) && l.Kind != letterReply {
			p.deliver(w, l, search.Label("duplicate %s", l), func(label func() string, f func(n *world)) {
				step(label, func(n *world) { n.Dups++; f(n) })
			})
		}
	}
	p.targets(w, step)
	p.faults(w, step)
}

type stepper func(label func() string, f func(n *world))

func (l letter) String() string {
	kinds := [...]string{"", "attempt", "fence", "resolve", "claim", "reply"}
	return fmt.Sprintf("%s of process %d to %d.%d", kinds[l.Kind], l.From, l.To, l.ToInc)
}

// tidy drops letters without an effect and gives worlds that differ only in the order of letters or sends one form.
func (w *world) tidy(without safeguard) {
	w.Net.Set(slices.DeleteFunc(slices.Clone(w.Net.All()), func(l letter) bool {
		return !l.Live && (l.Kind == letterReply || without == allSafeguards && w.idle(l))
	}))
	w.sortSends()
	w.Net.Order()
}

// idle reports whether a letter whose sender no longer waits can't change anything any more.
func (w *world) idle(l letter) bool {
	switch l.Kind {
	case letterAttempt, letterFence:
		id := modelKey(l.Owner, l.OwnerInc)
		_, seen := w.ledgers[l.To].m.shelf.get(id)
		return l.ToInc != w.AgentInc[l.To] || seen || !w.ledgers[l.To].m.shelf.accepts(id.epoch())
	case letterResolve:
		return l.ToInc != w.Inc[l.To]
	default:
		return w.Row != 0
	}
}

// sortSends numbers the sends by what they do, since the number of a send means nothing.
func (w *world) sortSends() {
	sends := w.Procs[:min(w.Sent, maxSends)]
	marks := make([]search.Print, len(sends))
	for i, pr := range sends {
		mark, _ := w.refersTo(uint8(i))
		marks[i] = mark.Add(search.PrintOf(pr))
	}
	places := search.Number(marks)
	if slices.IsSorted(places) {
		return
	}
	old := slices.Clone(sends)
	for i, place := range places {
		sends[place] = old[i]
	}
	for k := range w.Net.All() {
		w.Net.All()[k].Renumber(places)
	}
	for k := range w.Busy {
		w.Busy[k].Renumber(places)
	}
	for k := maxSends; k < len(w.Procs); k++ {
		if pr := &w.Procs[k]; pr.Wanted {
			pr.From = uint8(places[pr.From])
		}
	}
}

// refersTo describes what refers to the send, without its number, and tells whether anything does.
func (w *world) refersTo(i uint8) (mark search.Print, any bool) {
	note := func(place int, l letter) {
		if l.Kind != 0 && l.IsFrom(i) {
			l.From, any = 0, true
			mark = mark.Add(search.PrintOf(l).At(place))
		}
	}
	for _, l := range w.Net.All() {
		note(-1, l)
	}
	for j, l := range w.Busy {
		note(j, l)
	}
	for k, pr := range w.Procs[maxSends:] {
		if pr.Wanted && pr.From == i {
			mark, any = mark.Add(search.Print{}.At(agents+k)), true
		}
	}
	return mark, any
}

// moveOn makes the process deaf to the letters that it waited for.
func (w *world) moveOn(i uint8) {
	for k := range w.Net.All() {
		w.Net.All()[k].MoveOn(i)
	}
	for k := range w.Busy {
		w.Busy[k].MoveOn(i)
	}
	for k := maxSends; k < len(w.Procs); k++ {
		if pr := &w.Procs[k]; pr.Wanted && pr.From == i {
			pr.Wanted, pr.From = false, 0
		}
	}
}

// answer posts the reply to a letter if its sender still waits.
func (w *world) answer(l, reply letter) {
	if l.Live {
		reply.Kind, reply.Live, reply.From = letterReply, true, l.From
		w.post(reply)
	}
}

func (w *world) post(l letter) {
	if !w.Net.Put(l) && !w.Lossy {
		w.problem = "the model has too little room for letters"
	}
}

// sends lets the caller send the key, again or for the first time, to either edge.
func (p *protocol) sends(w *world, step stepper) {
	k, ok := w.free()
	if !ok || w.Sent == p.Sends {
		return
	}
	for i := range uint8(edges) {
		if i == 2 && !p.Three || p.Plain && w.Sent == 0 && i > 0 {
			continue // the edges are alike before the first send of a plain key
		}
		step(search.Label("send %d arrives at %s", k, edge(i, w.Inc[i])), func(n *world) {
			n.Sent++
			n.Procs[k] = process{At: i, Owner: 0, OwnerInc: 1}
			if p.Plain {
				p.claim(n, k)
				return
			}
			p.begin(n, k)
		})
	}
}

// free returns a place for a send; that of an earlier one serves again when nothing refers to it.
func (w *world) free() (uint8, bool) {
	if w.Sent < maxSends {
		return w.Sent, true
	}
	for k := range uint8(maxSends) {
		if _, referred := w.refersTo(k); !referred && w.Procs[k].Stage == stageOver {
			return k, true
		}
	}
	return 0, false
}

func (p *protocol) claim(n *world, i uint8) {
	pr := &n.Procs[i]
	pr.Stage = stageClaim
	n.moveOn(i)
	pr.Tries++
	n.post(letter{Kind: letterClaim, Envelope: search.Envelope{Live: true, From: i}, ReqAt: pr.At, ReqInc: n.Inc[pr.At]})
}

func (p *protocol) begin(n *world, i uint8) {
	pr := n.Procs[i]
	p.carry(n, i, n.tell(pr.At, BeginMsg{Now: moment, ID: modelKey(pr.Owner, pr.OwnerInc), Fingerprint: 1}))
}

func (w *world) errand(i uint8) *errand {
	pr := w.Procs[i]
	e := &errand{id: modelKey(pr.Owner, pr.OwnerInc), send: Send{Fingerprint: 1}, hops: int(pr.Hops)}
	if pr.Ans != 0 {
		e.answer = &Answer{Status: int(pr.Ans)}
	}
	return e
}

func (w *world) store(i uint8, e *errand) {
	w.Procs[i].Hops = uint8(e.hops)
	w.Procs[i].Ans = 0
	if e.answer != nil {
		w.Procs[i].Ans = uint8(e.answer.Status)
	}
}

// carry does what Owner.carryOut does, up to the next call.
func (p *protocol) carry(n *world, i uint8, cmd Cmd) {
	pr := &n.Procs[i]
	switch c := cmd.(type) {
	case RunCmd:
		pr.Stage, pr.Held = stageReady, true
		if p.Without == withoutRecord {
			n.forget(pr.At, modelKey(pr.Owner, pr.OwnerInc))
		}
	case DecideCmd:
		p.told(n, i, n.errand(i).decision(c.Kind, c.Reason))
	case FenceCmd:
		p.fence(n, i, c)
	case FetchCmd:
		pr.Stage = stageFetch
		pr.To, pr.ToInc = indexOf(c.Agent.Ref, 'P')
	case AskCmd:
		e := n.errand(i)
		t := e.follow(edge(pr.At, n.Inc[pr.At]), c)
		n.store(i, e)
		if !t.Call {
			p.turn(n, i, t)
			return
		}
		n.moveOn(i)
		pr.Stage = stageResolve
		pr.To, pr.ToInc = indexOf(c.Holder, 'A')
		pr.Gen = uint8(c.Generation)
		n.post(letter{
			Kind: letterResolve, Envelope: search.Envelope{Live: true, From: i}, To: pr.To, ToInc: pr.ToInc, Owner: pr.Owner, OwnerInc: pr.OwnerInc,
			ReqAt: pr.At, ReqInc: n.Inc[pr.At], Gen: pr.Gen,
		})
	}
}

func (p *protocol) turn(n *world, i uint8, t turn) {
	switch {
	case t.Msg != nil:
		if g, ok := t.Msg.(GrantMsg); ok && g.Generation > 1 {
			p.seen.Add("second grant")
		}
		p.carry(n, i, n.tell(n.Procs[i].At, t.Msg))
	case t.Cmd != nil:
		p.carry(n, i, t.Cmd)
	case t.Lookup:
		n.Procs[i].Stage = stageLookup
	default:
		p.told(n, i, t.Decision)
	}
}

func (p *protocol) fence(n *world, i uint8, c FenceCmd) {
	pr := &n.Procs[i]
	n.moveOn(i)
	pr.Stage, pr.Purpose = stageFence, c.Purpose
	pr.To, pr.ToInc = indexOf(c.Agent.Ref, 'P')
	if !c.Requester.IsZero() {
		pr.ReqAt, pr.ReqInc = indexOf(c.Requester, 'A')
	}
	if p.Without == withoutFence {
		p.fenced(n, i, letter{State: uint8(FenceNeverSeen)})
		return
	}
	n.post(letter{
		Kind: letterFence, Envelope: search.Envelope{Live: true, From: i}, To: pr.To, ToInc: pr.ToInc, Owner: pr.Owner, OwnerInc: pr.OwnerInc,
	})
}

func (p *protocol) fenced(n *world, i uint8, l letter) {
	pr := &n.Procs[i]
	c := FenceCmd{Purpose: pr.Purpose}
	if pr.Purpose == FenceToGrant {
		c.Requester = edge(pr.ReqAt, pr.ReqInc)
	}
	e := n.errand(i)
	reply := FenceReply{State: FenceState(l.State)}
	if l.Ans != 0 {
		reply.Answer = &Answer{Status: int(l.Ans)}
	}
	msg := e.fenced(moment, c, reply)
	n.store(i, e)
	cmd := n.tell(pr.At, msg)
	if i < maxSends {
		if _, ok := cmd.(RunCmd); ok {
			p.seen.Add("attempt after fence")
		}
		p.carry(n, i, cmd)
		return
	}
	n.moveOn(i)
	p.served(n, *pr, cmd, n.errand(i))
	*pr = process{}
}

// served posts the reply to a Keys.Resolve that process pr handled.
func (p *protocol) served(n *world, pr process, cmd Cmd, e *errand) {
	if _, ok := cmd.(GrantCmd); ok {
		p.seen.Add("grant")
		if p.Without == withoutPointer {
			n.forget(pr.At, modelKey(pr.Owner, pr.OwnerInc))
		}
	}
	if pr.Wanted {
		p.reply(n, pr.From, e.served(cmd))
	}
}

func (p *protocol) reply(n *world, to uint8, r ResolveReply) {
	l := letter{Kind: letterReply, Envelope: search.Envelope{Live: true, From: to}, Granted: r.Granted, Moved: r.Moved, Gone: r.Gone, Gen: uint8(r.Generation)}
	if r.Moved {
		l.ReqAt, l.ReqInc = indexOf(r.Holder, 'A')
	}
	if r.Answer != nil {
		l.Ans = uint8(r.Answer.Status)
	}
	l.State = uint8(slices.Index([]Kind{KindUnknown, KindAnswer, KindInProgress, KindNotRun}, r.Kind) + 1)
	n.post(l)
}

// told checks what the caller learns and ends the send.
func (p *protocol) told(n *world, i uint8, d Decision) {
	pr := &n.Procs[i]
	outcome := model.OutcomeUnknown
	switch d.Kind {
	case KindAnswer:
		outcome = model.OutcomeDone
		p.seen.Add("answer")
		if n.Runs != 1 || d.Answer.Status != int(n.RunID) {
			n.problem = "a caller got an answer that is not the one of the run"
		}
	case KindNotRun:
		outcome = model.OutcomeNotRun
		pr.NotRun = true
		p.seen.Add("not-run")
		if n.Runs != 0 {
			n.problem = "a caller was told not-run after the request ran"
		}
	case KindInProgress:
		p.seen.Add("running")
	case KindUnknown:
		if d.Reason == ReasonEpochDropped {
			p.seen.Add("dropped epoch")
		}
	}
	if pr.Held && n.problem == "" {
		n.tell(pr.At, EndMsg{Now: moment, ID: modelKey(pr.Owner, pr.OwnerInc), Outcome: outcome})
	}
	n.moveOn(i)
	*pr = process{Stage: stageOver, NotRun: pr.NotRun}
}

// process visits what a send can do by itself: choose an agent, give up, or stop waiting.
func (p *protocol) process(w *world, i uint8, step stepper) {
	pr := w.Procs[i]
	at := func(f string, args ...any) func() string {
		return search.Label("process %d "+f, append([]any{i}, args...)...)
	}
	switch pr.Stage {
	case stageReady:
		step(at("gives up"), func(n *world) { p.told(n, i, Decision{Kind: KindNotRun}) })
		for j := range uint8(agents) {
			if pr.Attempts < p.Attempts && w.distinct(j) {
				step(at("starts an attempt at %s", agentRef(j, w.AgentInc[j])), func(n *world) { p.start(n, i, j) })
			}
		}
	case stageAttempt:
		step(at("doubts its attempt"), func(n *world) { p.doubt(n, i) })
	case stageClaim:
		step(at("gets no answer from the platform"), func(n *world) { p.unclaimed(n, i) })
	case stageFence:
		step(at("gets no answer from the agent"), func(n *world) { p.fenced(n, i, letter{State: uint8(FenceFailed)}) })
	case stageResolve:
		step(at("gets no answer from the holder"), func(n *world) { p.followed(n, i, ResolveReply{}, false) })
	case stageFetch:
		step(at("can't read the answer"), func(n *world) { p.told(n, i, n.errand(i).fetched(FetchCmd{Ran: true}, FenceReply{}, false)) })
		step(at("reads the answer"), func(n *world) {
			p.told(n, i, n.errand(i).fetched(FetchCmd{Ran: true}, n.lookup(pr.To, modelKey(pr.Owner, pr.OwnerInc)), true))
		})
	case stageLookup:
		step(at("looks the key up"), func(n *world) {
			replies := make([]FenceReply, agents)
			for j := range uint8(agents) {
				replies[j] = n.lookup(j, modelKey(pr.Owner, pr.OwnerInc))
			}
			d := n.errand(i).evidence(replies)
			if d.Kind == KindAnswer {
				p.seen.Add("evidence")
			}
			p.told(n, i, d)
		})
	}
}

// distinct reports whether the agent is there and differs from all lower ones; alike agents need no steps of their own.
func (w *world) distinct(j uint8) bool {
	if j == agents-1 && !w.Joined {
		return false
	}
	return w.Touched[j] || j == 0 || w.Touched[j-1]
}

func (w *world) lookup(j uint8, id keyID) FenceReply {
	return FenceReply(w.ledgers[j].m.Lookup(LookupMsg{ID: id, Fingerprint: 1}))
}

func (p *protocol) start(n *world, i, j uint8) {
	pr := &n.Procs[i]
	id := modelKey(pr.Owner, pr.OwnerInc)
	if p.Without != withoutRecord {
		cmd := n.tell(pr.At, StartMsg{Now: moment, ID: id, Agent: &model.Node{Ref: agentRef(j, n.AgentInc[j])}})
		if _, ok := cmd.(RunCmd); !ok {
			p.doubt(n, i)
			return
		}
	}
	n.moveOn(i)
	n.Touched[j] = true
	pr.Stage = stageAttempt
	pr.Attempts++
	n.post(letter{
		Kind: letterAttempt, Envelope: search.Envelope{Live: true, From: i, Signed: true}, To: j, ToInc: n.AgentInc[j], Owner: pr.Owner, OwnerInc: pr.OwnerInc,
	})
}

func (p *protocol) doubt(n *world, i uint8) {
	pr := &n.Procs[i]
	n.moveOn(i)
	p.carry(n, i, n.tell(pr.At, DoubtMsg{Now: moment, ID: modelKey(pr.Owner, pr.OwnerInc)}))
}

func (p *protocol) unclaimed(n *world, i uint8) {
	pr := &n.Procs[i]
	switch {
	case p.Without == withoutClaimRead:
		pr.Owner, pr.OwnerInc = pr.At, n.Inc[pr.At]
		n.moveOn(i)
		p.begin(n, i)
	case pr.Tries < claimTries:
		p.claim(n, i)
	case p.Without == withoutUnclaimed:
		p.told(n, i, Decision{Kind: KindNotRun})
	default:
		p.told(n, i, unclaimed())
	}
}

func (p *protocol) followed(n *world, i uint8, r ResolveReply, ok bool) {
	pr := &n.Procs[i]
	n.moveOn(i)
	e := n.errand(i)
	successor := model.NodeRef{}
	if p.Handover && n.Sealed && pr.To == 0 && pr.ToInc == n.Heir {
		successor = edge(1, n.Inc[1])
	}
	t := e.followed(moment, AskCmd{Holder: edge(pr.To, pr.ToInc), Generation: uint32(pr.Gen)}, r, ok, successor)
	n.store(i, e)
	p.turn(n, i, t)
}

// deliver visits what follows when the letter arrives.
func (p *protocol) deliver(w *world, l letter, label func() string, step stepper) {
	switch l.Kind {
	case letterAttempt:
		step(label, func(n *world) { p.admit(n, l) })
		if w.Refused < p.Refuse && l.ToInc == w.AgentInc[l.To] {
			step(search.Label("%s, refused for load", l), func(n *world) {
				n.Refused++
				n.answer(l, letter{State: replyRefused})
			})
		}
	case letterFence:
		step(label, func(n *world) {
			inc := l.ToInc
			if p.Without == withoutAgentIncarnation {
				inc = n.AgentInc[l.To]
			}
			e := n.tellAgent(l.To, FenceMsg{
				Now: moment, ID: modelKey(l.Owner, l.OwnerInc), Agent: agentRef(l.To, inc), Fingerprint: 1,
			}).(EvidenceCmd)
			r := letter{State: uint8(e.State)}
			if e.Answer != nil {
				r.Ans = uint8(e.Answer.Status)
			}
			n.answer(l, r)
		})
	case letterClaim:
		step(label, func(n *world) {
			if n.Row == 0 {
				n.Row, n.RowInc = l.ReqAt+1, l.ReqInc
			}
			n.answer(l, letter{Owner: n.Row - 1, OwnerInc: n.RowInc})
		})
	case letterResolve:
		p.resolve(w, l, label, step)
	case letterReply:
		step(label, func(n *world) { p.receive(n, l) })
	}
}

// admit lets the agent's ledger decide; the target gets the request at once.
func (p *protocol) admit(n *world, l letter) {
	inc := l.ToInc
	if p.Without == withoutAgentIncarnation {
		inc = n.AgentInc[l.To]
	}
	id := attemptID{Key: modelKey(l.Owner, l.OwnerInc), Fingerprint: 1, Agent: uint64(inc)}
	if _, ok := n.tellAgent(l.To, AdmitMsg{Now: moment, ID: id}).(AdmitCmd); !ok {
		n.answer(l, letter{State: replySeen})
		return
	}
	n.Runs++
	n.RunID = 1 + l.To + agents*n.AgentInc[l.To]
	n.Busy[l.To] = l
	switch {
	case n.Runs > 1:
		n.problem = "the request ran twice"
	case n.Procs[l.From].NotRun:
		n.problem = "a send ran after its caller was told not-run"
	}
}

func (p *protocol) resolve(w *world, l letter, label func() string, step stepper) {
	if l.ToInc != w.Inc[l.To] && p.Without != withoutOwnerIncarnation {
		step(label, func(n *world) { n.answer(l, letter{Gone: true}) })
		return
	}
	server := slices.IndexFunc(w.Procs[maxSends:], func(pr process) bool { return pr.Stage == stageNone })
	if server < 0 {
		return
	}
	i := uint8(maxSends + server)
	var fetch *FetchCmd
	step(label, func(n *world) {
		pr := &n.Procs[i]
		*pr = process{At: l.To, Owner: l.Owner, OwnerInc: l.OwnerInc, From: l.From, Wanted: l.Live}
		id := modelKey(l.Owner, l.OwnerInc)
		cmd := n.tell(l.To, ResolveMsg{
			Now: moment, ID: id, Fingerprint: 1, Requester: edge(l.ReqAt, l.ReqInc), Generation: uint32(l.Gen),
		})
		switch c := cmd.(type) {
		case FenceCmd:
			p.fence(n, i, c)
			return
		case FetchCmd:
			fetch = &c
			j, _ := indexOf(c.Agent.Ref, 'P')
			p.fetched(n, l, n.lookup(j, id), true)
		default:
			p.served(n, *pr, cmd, n.errand(i))
		}
		*pr = process{}
	})
	if fetch != nil {
		step(search.Label("%s, agent silent", l), func(n *world) { p.fetched(n, l, FenceReply{}, false) })
	}
}

func (p *protocol) fetched(n *world, l letter, reply FenceReply, ok bool) {
	if e := (&errand{}); l.Live {
		p.reply(n, l.From, e.reply(e.fetched(FetchCmd{Ran: true}, reply, ok)))
	}
}

// receive hands a reply to the process that awaits it.
func (p *protocol) receive(n *world, l letter) {
	pr := &n.Procs[l.From]
	id := modelKey(pr.Owner, pr.OwnerInc)
	switch pr.Stage {
	case stageClaim:
		pr.Owner, pr.OwnerInc = l.Owner, l.OwnerInc
		n.moveOn(l.From)
		p.begin(n, l.From)
	case stageFence:
		p.fenced(n, l.From, l)
	case stageResolve:
		kinds := []Kind{"", KindUnknown, KindAnswer, KindInProgress, KindNotRun}
		r := ResolveReply{Granted: l.Granted, Moved: l.Moved, Gone: l.Gone, Generation: uint32(l.Gen), Kind: kinds[l.State]}
		if l.Moved {
			r.Holder = edge(l.ReqAt, l.ReqInc)
		}
		if l.Ans != 0 {
			r.Answer = &Answer{Status: int(l.Ans)}
		}
		p.followed(n, l.From, r, true)
	case stageAttempt:
		n.moveOn(l.From)
		switch {
		case l.State == replyRefused, l.State == replySeen && p.Without == withoutSeenDoubt:
			n.tell(pr.At, RefuseMsg{Now: moment, ID: id})
			pr.Stage = stageReady
		case l.State == replySeen:
			p.doubt(n, l.From)
		default:
			if p.Without != withoutRecord {
				n.tell(pr.At, FinishMsg{Now: moment, ID: id})
			}
			p.told(n, l.From, Decision{Kind: KindAnswer, Answer: &Answer{Status: int(l.Ans)}})
		}
	}
}

// targets lets targets answer or break off.
func (p *protocol) targets(w *world, step stepper) {
	for j, l := range w.Busy {
		if l.Kind == 0 {
			continue
		}
		id := attemptID{Key: modelKey(l.Owner, l.OwnerInc), Fingerprint: 1, Agent: uint64(w.AgentInc[j])}
		step(search.Label("target at %s answers", agentRef(uint8(j), w.AgentInc[j])), func(n *world) {
			n.Busy[j] = letter{}
			n.tellAgent(uint8(j), CompleteMsg{Now: moment, ID: id, Answer: &Answer{Status: int(n.RunID)}})
			n.answer(l, letter{State: replyAnswered, Ans: n.RunID})
		})
		if w.Refused < p.Refuse {
			step(search.Label("target at %s can't be reached", agentRef(uint8(j), w.AgentInc[j])), func(n *world) {
				n.Busy[j], n.Runs, n.RunID = letter{}, n.Runs-1, 0
				n.Refused++
				n.tellAgent(uint8(j), ReleaseMsg{ID: id})
				n.answer(l, letter{State: replyRefused})
			})
		}
		step(search.Label("target at %s breaks", agentRef(uint8(j), w.AgentInc[j])), func(n *world) {
			n.Busy[j] = letter{}
			n.tellAgent(uint8(j), CompleteMsg{Now: moment, ID: id, Broken: true})
		})
	}
}

// faults restarts nodes, drops epochs, lets the third agent join and shuts the first edge down.
func (p *protocol) faults(w *world, step stepper) {
	for i := range uint8(edges) {
		if w.Restarts < p.Restarts && (i < 2 || p.Three) {
			step(search.Label("%s restarts", edge(i, w.Inc[i])), func(n *world) { p.restart(n, i) })
		}
		if w.Drops < p.Drops && w.owners[i].m.shelf.count > 0 {
			step(search.Label("%s drops its epochs", edge(i, w.Inc[i])), func(n *world) {
				n.Drops++
				n.tell(i, ExpireMsg{Before: moment.Add(1)})
				n.clearFloors(p.Without, n.owners[i].m.shelf.floors)
				n.owners[i] = boxOwner(n.owners[i].m)
			})
		}
	}
	for j := range uint8(agents) {
		if w.AgentRestarts < p.AgentRestarts && w.distinct(j) {
			step(search.Label("%s restarts", agentRef(j, w.AgentInc[j])), func(n *world) {
				n.AgentRestarts++
				n.Touched[j] = true
				n.AgentInc[j]++
				n.ledgers[j] = newModelLedger(j, n.AgentInc[j])
				n.Busy[j] = letter{}
			})
		}
		if w.Drops < p.Drops && w.ledgers[j].m.shelf.count > 0 {
			step(search.Label("%s drops its epochs", agentRef(j, w.AgentInc[j])), func(n *world) {
				n.Drops++
				n.tellAgent(j, ExpireMsg{Before: moment.Add(1)})
				n.clearFloors(p.Without, n.ledgers[j].m.shelf.floors)
				n.ledgers[j] = boxLedger(n.ledgers[j].m)
			})
		}
	}
	if !w.Joined {
		step(search.Label("the third agent joins"), func(n *world) { n.Joined = true })
	}
	if p.Aging && !w.Aged {
		step(search.Label("tokens of A expire"), func(n *world) {
			n.Aged = true
			n.tell(0, EpochMsg{Epoch: 2, Oldest: 2})
		})
	}
	if p.Handover && !w.Sealed {
		step(search.Label("A hands its keys to B"), func(n *world) { p.handover(n) })
	}
}

func (w *world) clearFloors(without safeguard, floors map[string]position) {
	if without == withoutFloors {
		clear(floors)
	}
}

func (p *protocol) handover(n *world) {
	n.Sealed, n.Heir = true, n.Inc[0]
	heir := &model.Node{Ref: edge(1, n.Inc[1])}
	cmd := n.tell(0, SealMsg{Now: moment, Successor: heir})
	if c, ok := cmd.(EstateCmd); ok {
		p.seen.Add("handover")
		n.tell(1, InheritMsg{Now: moment, Estate: c.Estate})
		n.tell(1, InheritMsg{Now: moment, Estate: c.Estate}) // the handover is repeated
	}
}

func (p *protocol) restart(n *world, i uint8) {
	n.Restarts++
	old := edge(i, n.Inc[i])
	n.Inc[i]++
	n.owners[i] = newModelOwner(i, n.Inc[i])
	if p.Without == withoutOwnerIncarnation {
		n.owners[i].m.domains[old] = domain{Epoch: 1}
		n.owners[i] = boxOwner(n.owners[i].m)
	}
	for k := range n.Procs {
		pr := &n.Procs[k]
		if pr.At != i || pr.Stage == stageNone || pr.Stage == stageOver {
			continue
		}
		n.moveOn(uint8(k))
		*pr = process{}
		if k < maxSends {
			pr.Stage = stageOver
		}
	}
}

// forget removes the record of the key without a trace.
func (w *world) forget(i uint8, id keyID) {
	m := w.owners[i].m.clone()
	m.shelf.remove(id)
	w.owners[i] = boxOwner(m)
}
