package purse

import "slices"

const (
	// fileDescriptors is the part of the descriptors that is reserved for files.
	fileDescriptors = 200
	// memoryShare is the fraction of the memory that clients may take; the rest is for the node itself and the garbage
	// between two collections.
	memoryShare = 4
	// serviceShare is the fraction of the sockets that each listener for the platform, the target and other nodes may take.
	serviceShare = 16
	// reservedShare is the fraction of the memory that only these listeners may take.
	reservedShare = 8
	// unfinishedShare is the fraction of the memory that unfinished messages of callers and other nodes may take together.
	unfinishedShare = 2
)

// Names of the listeners; all but callers and relay are service listeners with reserved room.
const (
	Callers = "callers"
	Relay   = "relay"
	Local   = "local"
	Ready   = "ready"
	Metrics = "metrics"
	Peer    = "peer"
)

var serviceListeners = []string{Local, Ready, Metrics, Peer}

// Budget is what a node may hold for its clients; zero means no bound.
type Budget struct {
	Bytes   int64
	Sockets int
}

// NewBudget derives the budget from the bytes of memory and the descriptors of the process; zero means no bound.
func NewBudget(memory int64, descriptors int) Budget {
	return Budget{Bytes: memory / memoryShare, Sockets: max(0, descriptors-fileDescriptors)}
}

// Enabled reports whether anything is bounded.
func (b Budget) Enabled() bool { return b.Bytes > 0 || b.Sockets > 0 }

func isService(listener string) bool { return slices.Contains(serviceListeners, listener) }

// bytesFor returns how much all connections may hold when one of the listener asks for more.
func (b Budget) bytesFor(listener string) int64 {
	if isService(listener) {
		return b.Bytes
	}
	return b.Bytes - b.Bytes/reservedShare
}

// unfinishedBytes returns how much the unfinished messages of callers and other nodes may hold together.
func (b Budget) unfinishedBytes() int64 { return b.Bytes / unfinishedShare }

// serviceSockets returns the connections that each service listener may have.
func (b Budget) serviceSockets() int { return max(1, b.Sockets/serviceShare) }

// sharedSockets returns the connections that callers, the relay and outbound connections may have together. One share
// remains for the listeners and the store.
func (b Budget) sharedSockets() int {
	return max(2, b.Sockets-(len(serviceListeners)+1)*b.serviceSockets())
}

// listenerSockets returns the connections that the listener may have. As each request needs connections to go on, neither
// callers nor the relay may take more than half of what they share.
func (b Budget) listenerSockets(listener string) int {
	if isService(listener) {
		return b.serviceSockets()
	}
	return b.sharedSockets() / 2
}
