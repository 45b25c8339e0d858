package limit

import "time"

// Msg is an input of the module.
type Msg interface{ at() time.Time }

// SettingsMsg replaces the settings; requests that already run or wait keep their places.
type SettingsMsg struct {
	Now      time.Time
	Settings Settings
}

// AcquireMsg asks for a slot.
type AcquireMsg struct {
	Now time.Time
	ID  uint64
	Request
}

// ReleaseMsg gives a slot back.
type ReleaseMsg struct {
	Now    time.Time
	ID     uint64
	Result Result
}

// CancelMsg withdraws a waiting request.
type CancelMsg struct {
	Now time.Time
	ID  uint64
}

// FlushMsg refuses all waiting requests, because the target turned out to be sick.
type FlushMsg struct{ Now time.Time }

// TickMsg moves the time; waiting requests whose time is over are refused.
type TickMsg struct{ Now time.Time }

func (m SettingsMsg) at() time.Time { return m.Now }
func (m AcquireMsg) at() time.Time  { return m.Now }
func (m ReleaseMsg) at() time.Time  { return m.Now }
func (m CancelMsg) at() time.Time   { return m.Now }
func (m FlushMsg) at() time.Time    { return m.Now }
func (m TickMsg) at() time.Time     { return m.Now }

// Cmd is an effect that the shell carries out.
type Cmd interface{ cmd() }

// GrantCmd admits a request.
type GrantCmd struct{ ID uint64 }

// WaitCmd queues a request; the shell sends TickMsg at Until unless another command came before.
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
