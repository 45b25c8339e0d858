package drain

import "time"

// Msg is an input of the module.
type Msg interface{ isMsg() }

// StopMsg asks the node to leave the fleet.
type StopMsg struct{ Now time.Time }

// TickMsg reports the time and the requests in flight.
type TickMsg struct {
	Now      time.Time
	InFlight int
}

// HandedOverMsg reports that a successor accepted the idempotency keys, or that no node could.
type HandedOverMsg struct {
	Now      time.Time
	InFlight int
}

// Cmd is a step that the shell has to carry out.
type Cmd interface{ isCmd() }

// AnnounceLeavingCmd spreads the leaving record and makes the relay refuse new requests.
type AnnounceLeavingCmd struct{}

// CloseListenersCmd stops accepting connections of callers.
type CloseListenersCmd struct{}

// HandOverKeysCmd sends the records of idempotency keys to the successor.
type HandOverKeysCmd struct{}

// ExitCmd ends the process; Broken counts the requests that are still in flight.
type ExitCmd struct{ Aborted int }

func (StopMsg) isMsg()       {}
func (TickMsg) isMsg()       {}
func (HandedOverMsg) isMsg() {}

func (AnnounceLeavingCmd) isCmd() {}
func (CloseListenersCmd) isCmd()  {}
func (HandOverKeysCmd) isCmd()    {}
func (ExitCmd) isCmd()            {}
