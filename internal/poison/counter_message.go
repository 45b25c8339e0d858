package poison

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// CounterMsg is an input of a counter.
type CounterMsg interface{ counter() }

// CounterCmd is an effect that a counter asks its shell for.
type CounterCmd interface{ counterCmd() }

// TargetCrashedMsg reports that a target of this node died while it ran the request; Known is what the sender knew when it sent it.
type TargetCrashedMsg struct {
	Now         time.Time
	Fingerprint uint64
	Known       model.Crashes
}

// AnsweredMsg reports that a target of this node has answered the request with success.
type AnsweredMsg struct {
	Now         time.Time
	Fingerprint uint64
}

// RemoteCountsMsg carries what another node publishes.
type RemoteCountsMsg struct {
	Now     time.Time
	Entries []model.CrashEntry
}

// RestoreCountsMsg carries what an earlier process of this node has published.
type RestoreCountsMsg struct {
	Now     time.Time
	Entries []model.CrashEntry
}

// PublishCountsCmd asks to publish Own soon.
type PublishCountsCmd struct{}

// QuarantineCmd tells that the request is refused from now on.
type QuarantineCmd struct {
	Entry model.CrashEntry
}

func (TargetCrashedMsg) counter() {}
func (AnsweredMsg) counter()      {}
func (RemoteCountsMsg) counter()  {}
func (RestoreCountsMsg) counter() {}

func (PublishCountsCmd) counterCmd() {}
func (QuarantineCmd) counterCmd()    {}
