package spill

import "time"

// Tier is how far a target is from the node.
type Tier uint8

// The tiers from nearest to farthest.
const (
	VM Tier = iota
	Domain
	Region
	Remote
	tierCount
)

// Reason is why a request leaves its failure domain or, if it already goes to the next one, its region.
type Reason string

// Reasons of Decide; each is a value of the log and of the metrics.
const (
	// Stays means that the request waits nearer.
	Stays Reason = ""
	// NoTarget means that no nearer target can take the request at all.
	NoTarget Reason = "no-target"
	// NoRoom means that the request would miss its objective nearer.
	NoRoom Reason = "no-room"
	// ShorterWait means that the caller gains more time than the transfer is worth.
	ShorterWait Reason = "shorter-wait"
	// ShortestQueue means that no target seems to have room and the queue there costs the caller least. Decide never returns
	// it.
	ShortestQueue Reason = "shortest-queue"
)

const (
	// maxCostShare limits the wait that locality may cost a caller, as a share of its objective.
	maxCostShare = 1.0 / 4
	// noRoomShare is the share of its objective from which a wait counts as no room.
	noRoomShare = 1.0 / 2
	// firstMargin is by how much the wait must exceed the cost while requests stay; hold is how long requests count as
	// leaving after the last one that was short of room.
	firstMargin = 1.5
	hold        = time.Second
	kilobyte    = 1 << 10
)

// price is the wait that is preferable to moving a kilobyte to the tier. Between regions a byte is billed at about eight
// times the price between failure domains of one region; within a failure domain it is free.
var price = [tierCount]time.Duration{Region: 5 * time.Millisecond, Remote: 40 * time.Millisecond}

// Request describes a request for which a target outside the failure domain seems to have room.
type Request struct {
	Now time.Time
	// Tier is the tier of that target.
	Tier Tier
	// Bytes is the expected size of the request and its response.
	Bytes int64
	// Objective is the time within which the response has its full value.
	Objective time.Duration
	// Queue tells whether a nearer target would queue the request, Wait how long it would then wait.
	Queue bool
	Wait  time.Duration
}

// Module holds the estimates for one service at one node.
type Module struct {
	links  [tierCount]link
	chance [tierCount]chance
	budget budget
	// shortUntil is when requests count as staying again.
	shortUntil time.Time
}

// Msg is an input of the module.
type Msg interface{ msg() }

// ShortMsg reports a request that would gain from leaving, whether it may or not.
type ShortMsg struct{ Now time.Time }

// RoomMsg reports a request that a target of the failure domain took at once.
type RoomMsg struct{ Now time.Time }

// LeftMsg reports a request that left the failure domain.
type LeftMsg struct {
	Now   time.Time
	Bytes int64
}

// ReplyMsg reports how an agent of the tier answered a request that could not wait.
type ReplyMsg struct {
	Now  time.Time
	Tier Tier
	// Admitted tells whether it had room. RoundTrip is how long a refusal took; zero means unknown.
	Admitted  bool
	RoundTrip time.Duration
}

func (ShortMsg) msg() {}
func (RoomMsg) msg()  {}
func (LeftMsg) msg()  {}
func (ReplyMsg) msg() {}

// New returns a module without measurements.
func New(now time.Time) *Module {
	return &Module{budget: newBudget(now)}
}

// Update applies one message.
func (m *Module) Update(msg Msg) {
	switch msg := msg.(type) {
	case ShortMsg:
		m.budget.raise(msg.Now)
		m.shortUntil = msg.Now.Add(hold)
	case RoomMsg:
		m.budget.lower(msg.Now)
	case LeftMsg:
		m.budget.spend(msg.Now, msg.Bytes)
	case ReplyMsg:
		m.chance[msg.Tier].observe(msg.Now, msg.Admitted)
		if msg.RoundTrip > 0 {
			m.links[msg.Tier].observe(msg.Now, msg.RoundTrip)
		}
	}
}

// Cost returns the wait that is preferable to sending the bytes to the tier, without the search for a free slot. A link that has become
// slow costs more.
func (m *Module) Cost(tier Tier, bytes int64, objective time.Duration) time.Duration {
	cost := time.Duration(float64(price[tier]) * float64(bytes) / kilobyte * m.links[tier].stretch())
	return min(cost, time.Duration(maxCostShare*float64(objective)))
}

// RoundTrip returns the usual round trip to an agent of the tier.
func (m *Module) RoundTrip(tier Tier) time.Duration {
	return m.links[tier].usual(tier)
}

// Search returns how long it takes to find an agent of the tier with room: a round trip for each one that is asked.
func (m *Module) Search(now time.Time, tier Tier) time.Duration {
	return time.Duration(float64(m.RoundTrip(tier)) / m.chance[tier].value(now))
}

// Gains reports whether leaving saves the caller more time than the transfer is worth.
func (m *Module) Gains(r Request) bool {
	if !r.Queue {
		return true
	}
	cost := float64(m.Search(r.Now, r.Tier) + m.Cost(r.Tier, r.Bytes, r.Objective))
	if r.Now.After(m.shortUntil) {
		cost *= firstMargin
	}
	return float64(r.Wait) > cost
}

// Decide returns why the request leaves, or Stays. A request without room in time is never held back; others leave at a
// bounded rate, so that the nodes of a failure domain don't move their load to others at the same moment.
func (m *Module) Decide(r Request) Reason {
	switch {
	case !r.Queue:
		return NoTarget
	case float64(r.Wait) > noRoomShare*float64(r.Objective) && m.Gains(r):
		return NoRoom
	case m.Gains(r) && m.budget.permits(r.Now):
		return ShorterWait
	default:
		return Stays
	}
}

// String returns the name of the tier in logs and metrics.
func (t Tier) String() string {
	return [tierCount]string{"vm", "domain", "region", "remote"}[t]
}
