package member

import "github.com/auburnwinch/auburnwinch/pkg/model"

// Status is what the failure detector believes about a node.
type Status uint8

// The statuses of a node; within one version a larger status overrides a smaller one.
const (
	StatusAlive Status = iota + 1
	StatusSuspect
	// StatusDead means that the node did not answer; it can refute.
	StatusDead
	// StatusLeft means that the node itself announced its exit; the others believe it at once.
	StatusLeft
)

// NodeRecord is the state that a node publishes about itself.
type NodeRecord struct {
	Node    model.Node `json:"node"`
	Version uint64     `json:"version"`
	// ContentVersion is the version at which a field other than Version and Ticket last changed.
	ContentVersion uint64 `json:"content"`
	Leaving        bool   `json:"leaving"`
	// Successor takes over the keys of a leaving node.
	Successor model.NodeRef `json:"successor"`
	// Ticket is the number in force; it merges by maximum and does not raise Version.
	Ticket    uint64              `json:"ticket"`
	Targets   []model.Target      `json:"targets"`
	Ejections []model.Claim       `json:"ejections"`
	Poison    []model.PoisonEntry `json:"poison"`
}

// LocalState is the part of the own record that the other parts of the node set.
type LocalState struct {
	Leaving bool
	// Successor is chosen by rendezvous rank when a leaving node names none.
	Successor model.NodeRef
	Ticket    uint64
	Targets   []model.Target
	Ejections []model.Claim
	Poison    []model.PoisonEntry
	// CallerAddress and RelayAddress replace those of Config.Self when they are set.
	CallerAddress string
	RelayAddress  string
}

// String returns the name of the status as it stands in logs and state dumps.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	case StatusDead:
		return "dead"
	case StatusLeft:
		return "left"
	default:
		return "invalid"
	}
}

// gone reports whether the node takes no part any more.
func (s Status) gone() bool { return s >= StatusDead }

// MarshalText encodes the status by its name.
func (s Status) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}
