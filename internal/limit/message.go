package limit

import "time"

// Msg is an input of the module.
type Msg interface{ at() time.Time }

// SettingsMsg replaces the settings without ending running requests or removing waiting ones because of the change.
type SettingsMsg struct {
	Now      time.Time
	Settings Settings
}

// AcquireMsg requests a slot for the request with the given ID, which the caller of Update chooses.
type AcquireMsg struct {
	Now time.Time
	ID  uint64
	Request
}

// ReleaseMsg frees the slot of an admitted request that has ended.
type ReleaseMsg struct {
	Now    time.Time
	ID     uint64
	Result Result
}

// CancelMsg removes a waiting request.
type CancelMsg struct {
	Now time.Time
	ID  uint64
}

// RefuseWaitingMsg refuses all waiting requests because the target became unhealthy.
type RefuseWaitingMsg struct{ Now time.Time }

// RateMsg changes the rate limit that the target states, in requests per second; Limited is false if it states none.
type RateMsg struct {
	Now     time.Time
	Rate    float64
	Limited bool
}

// TickMsg advances the time; requests that have waited longer than allowed are refused.
type TickMsg struct{ Now time.Time }

func (m SettingsMsg) at() time.Time      { return m.Now }
func (m AcquireMsg) at() time.Time       { return m.Now }
func (m ReleaseMsg) at() time.Time       { return m.Now }
func (m CancelMsg) at() time.Time        { return m.Now }
func (m RefuseWaitingMsg) at() time.Time { return m.Now }
func (m RateMsg) at() time.Time          { return m.Now }
func (m TickMsg) at() time.Time          { return m.Now }

// Cmd is an action that the caller of Update must carry out.
type Cmd interface{ cmd() }

// GrantCmd admits a request.
type GrantCmd struct{ ID uint64 }

// WaitCmd reports that a request was queued. The caller of Update must send TickMsg at Until, unless it has received
// GrantCmd or RefuseCmd for the request by then.
type WaitCmd struct {
	ID    uint64
	Until time.Time
}

// WakeCmd asks the caller of Update for a TickMsg at At, when the rate limit permits the next waiting request. It replaces
// earlier ones.
type WakeCmd struct{ At time.Time }

// RefuseCmd refuses a request that has not run.
type RefuseCmd struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (GrantCmd) cmd()  {}
func (WaitCmd) cmd()   {}
func (WakeCmd) cmd()   {}
func (RefuseCmd) cmd() {}
