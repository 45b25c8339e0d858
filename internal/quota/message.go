package quota

import "time"

// Times in messages are those since the start of the VM, pauses included.

// ShareMsg is an input of Share.
type ShareMsg interface{ shareMsg() }

// PoolMsg is an input of Pool.
type PoolMsg interface{ poolMsg() }

// TermsMsg sets the terms of the accounts that have a quota, by name.
type TermsMsg struct{ Terms map[string]Terms }

// FractionMsg sets the fraction of all tokens that this node creates; zero until it may create any.
type FractionMsg struct {
	Now      time.Duration
	Fraction float64
}

// TakeMsg requests a token; Share replies with TokenCmd, RefuseCmd or WaitCmd.
type TakeMsg struct {
	Now     time.Duration
	Account string
	// Until is the time until which the request may wait.
	Until time.Duration
	// Waiting tells that the reply to the preceding message of this request was WaitCmd.
	Waiting bool
}

// LeaveMsg reports that a request no longer waits.
type LeaveMsg struct{ Account string }

// GiveBackMsg returns a token that was not used.
type GiveBackMsg struct {
	Now     time.Duration
	Account string
	Expires time.Duration
}

// SendMsg requests the next call to the pool above, which the node reaches under the name.
type SendMsg struct {
	Now  time.Duration
	Pool string
}

// GrantedMsg delivers the reply to the last call.
type GrantedMsg struct {
	Now   time.Duration
	Grant Grant
}

// FailedMsg reports that the last call failed.
type FailedMsg struct{ Now time.Duration }

// AskMsg delivers a call to a pool, which replies with GrantCmd.
type AskMsg struct {
	Now time.Duration
	Ask Ask
}

func (TermsMsg) shareMsg()    {}
func (FractionMsg) shareMsg() {}
func (TakeMsg) shareMsg()     {}
func (LeaveMsg) shareMsg()    {}
func (GiveBackMsg) shareMsg() {}
func (SendMsg) shareMsg()     {}
func (GrantedMsg) shareMsg()  {}
func (FailedMsg) shareMsg()   {}

func (TermsMsg) poolMsg()   {}
func (AskMsg) poolMsg()     {}
func (SendMsg) poolMsg()    {}
func (GrantedMsg) poolMsg() {}
func (FailedMsg) poolMsg()  {}

// Cmd is an output of Share or Pool.
type Cmd interface{ cmd() }

// TokenCmd lets the request run.
type TokenCmd struct{ Expires time.Duration }

// RefuseCmd refuses the request; Late tells that no pool replied in time, so that the quota need not be used up.
type RefuseCmd struct {
	RetryAfter time.Duration
	Late       bool
}

// WaitCmd makes the request wait for the next GrantedMsg.
type WaitCmd struct{}

// SendCmd sends the call to the pool above.
type SendCmd struct{ Ask Ask }

// GrantCmd replies to a call.
type GrantCmd struct{ Grant Grant }

func (TokenCmd) cmd()  {}
func (RefuseCmd) cmd() {}
func (WaitCmd) cmd()   {}
func (SendCmd) cmd()   {}
func (GrantCmd) cmd()  {}

// Ask is a call to a pool: it hands tokens in and requests others. net/rpc requires exported types.
type Ask struct {
	// From names the caller.
	From string
	// Epoch and Stamp repeat those of the last reply of the pool, and Since is the time since it arrived. The pool thus
	// knows a time before which the call was not sent.
	Epoch        uint64
	Stamp, Since time.Duration
	// Minted is the number of seconds of the fleet's rates that are handed in, created over the last Span.
	Minted float64
	Span   time.Duration
	Offers []Parcel
	Wants  []Want
}

// Parcel is an amount of tokens of one account that expire after Life.
type Parcel struct {
	Account string
	Amount  float64
	Life    time.Duration
}

// Want requests tokens of one account.
type Want struct {
	Account string
	Amount  float64
	// Waiting is the part of the amount for which requests wait; Requests counts those since the last call.
	Waiting, Requests float64
}

// Grant is the reply of a pool.
type Grant struct {
	Epoch   uint64
	Stamp   time.Duration
	Parcels []Parcel
	Denials []Denial
	// Wanted lists the accounts of which the pool accepts surplus tokens, Reserve those of which it accepts a few.
	Wanted  []string
	Reserve []string
}

// Denial reports that tokens for waiting requests are missing.
type Denial struct {
	Account string
	// Wait is the expected time until a token.
	Wait time.Duration
	// Exhausted tells that the quota is used up; otherwise the pool has requested tokens itself.
	Exhausted bool
}
