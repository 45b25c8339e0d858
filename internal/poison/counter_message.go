package poison

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// CounterMsg is an input to a Counter.
type CounterMsg interface{ isCounterMsg() }

// CounterCmd is a side effect that the caller of Update must carry out.
type CounterCmd interface{ isCounterCmd() }

// TargetCrashedMsg reports that a target of this node crashed while running the request. Known is the state that the
// sender of the request knew when it sent it.
type TargetCrashedMsg struct {
	Now         time.Time
	Fingerprint uint64
	Known       model.Crashes
}

// AnsweredMsg reports that a target of this node has served the request successfully.
type AnsweredMsg struct {
	Now         time.Time
	Fingerprint uint64
}

// RemoteCountsMsg carries the counts published by another node.
type RemoteCountsMsg struct {
	Now     time.Time
	Entries []model.CrashEntry
}

// RestoreCountsMsg carries the counts published by an earlier process of this node.
type RestoreCountsMsg struct {
	Now     time.Time
	Entries []model.CrashEntry
}

// PublishCountsCmd requests that the result of LocalEntries be published soon.
type PublishCountsCmd struct{}

// QuarantineCmd reports that the request is refused from now on.
type QuarantineCmd struct {
	Entry model.CrashEntry
}

func (TargetCrashedMsg) isCounterMsg() {}
func (AnsweredMsg) isCounterMsg()      {}
func (RemoteCountsMsg) isCounterMsg()  {}
func (RestoreCountsMsg) isCounterMsg() {}

func (PublishCountsCmd) isCounterCmd() {}
func (QuarantineCmd) isCounterCmd()    {}
