package drain

import "time"

// Msg is an input to a Shutdown.
type Msg interface{ isMsg() }

// StopMsg starts the shutdown: the node leaves the fleet.
type StopMsg struct{ Now time.Time }

// TickMsg reports the current time and the number of requests in flight.
type TickMsg struct {
	Now      time.Time
	InFlight int
}

// HandedOverMsg reports that a successor accepted the idempotency keys, or that no node could.
type HandedOverMsg struct {
	Now      time.Time
	InFlight int
}

// Cmd is a step that the caller of Update must carry out.
type Cmd interface{ isCmd() }

// AnnounceLeavingCmd tells callers that the node leaves. It also does what StopRelayingCmd does unless Config.RelayLinger is set.
type AnnounceLeavingCmd struct{}

// StopRelayingCmd publishes the leaving record and makes the relay refuse new requests.
type StopRelayingCmd struct{}

// CloseListenersCmd stops accepting connections from callers.
type CloseListenersCmd struct{}

// StopAdmittingCmd refuses the requests that wait for a target, because they could no longer complete.
type StopAdmittingCmd struct{}

// HandOverKeysCmd sends the records of idempotency keys to the successor.
type HandOverKeysCmd struct{}

// ExitCmd ends the process; Aborted counts the requests that are still in flight.
type ExitCmd struct{ Aborted int }

func (StopMsg) isMsg()       {}
func (TickMsg) isMsg()       {}
func (HandedOverMsg) isMsg() {}

func (AnnounceLeavingCmd) isCmd() {}
func (StopRelayingCmd) isCmd()    {}
func (CloseListenersCmd) isCmd()  {}
func (StopAdmittingCmd) isCmd()   {}
func (HandOverKeysCmd) isCmd()    {}
func (ExitCmd) isCmd()            {}
