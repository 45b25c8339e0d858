package poison

import (
	"cmp"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// entryID identifies a request by service and fingerprint.
type entryID struct {
	Service     string
	Fingerprint uint64
}

// remoteEntry is what another node reported about a fingerprint.
type remoteEntry struct {
	Crashes uint8
	// Published is set once the node's record has contained the entry; until then, a record without the entry is merely
	// older.
	Published bool
}

// entry is what this node knows about a fingerprint.
type entry struct {
	// localCrashes counts the crashes that this node observed.
	localCrashes uint8
	others       map[model.NodeRef]remoteEntry
	quarantined  bool
	expires      time.Time
	// broadcast is set once every agent of the service knows the suspicion and none is running the request.
	broadcast bool
	// trialGranted is never reset, because the result of the trial may be lost.
	trialGranted bool
}

func (a entryID) compare(b entryID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

func (e entry) crashes() int {
	n := int(e.localCrashes)
	for _, r := range e.others {
		n += int(r.Crashes)
	}
	return n
}

func (e entry) verdict() Verdict {
	if e.quarantined {
		return Quarantined
	}
	return Suspect
}
