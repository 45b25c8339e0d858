package limit

import "time"

// Msg is an input of the module.
type Msg interface{ at() time.Time }

// SettingsMsg replaces the settings; running and waiting requests are kept.
type SettingsMsg struct {
	Now      time.Time
	Settings Settings
}

// AcquireMsg requests a slot.
type AcquireMsg struct {
	Now time.Time
	ID  uint64
	Request
}

// ReleaseMsg frees a slot.
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

// TickMsg advances the time; waiting requests that have expired are refused.
type TickMsg struct{ Now time.Time }

func (m SettingsMsg) at() time.Time      { return m.Now }
func (m AcquireMsg) at() time.Time       { return m.Now }
func (m ReleaseMsg) at() time.Time       { return m.Now }
func (m CancelMsg) at() time.Time        { return m.Now }
func (m RefuseWaitingMsg) at() time.Time { return m.Now }
func (m TickMsg) at() time.Time          { return m.Now }

// Cmd is an effect for the caller of Update to carry out.
type Cmd interface{ cmd() }

// GrantCmd admits a request.
type GrantCmd struct{ ID uint64 }

// WaitCmd queues a request; the caller of Update must send TickMsg at Until unless another command for it came before.
type WaitCmd struct {
	ID    uint64
	Until time.Time
}

// RefuseCmd refuses a request, which certainly did not run.
type RefuseCmd struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (GrantCmd) cmd()  {}
func (WaitCmd) cmd()   {}
func (RefuseCmd) cmd() {}
