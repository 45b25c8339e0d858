package poison

import (
	"cmp"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// entryID names a fingerprint of a service.
type entryID struct {
	Service     string
	Fingerprint uint64
}

// remote is what another node knows about a fingerprint.
type remote struct {
	Crashes uint8
	// Published is set when the node's record held the entry; before that, a record without it is an older one.
	Published bool
}

// entry is what this node knows about a fingerprint.
type entry struct {
	// own counts the crashes at this node.
	own         uint8
	others      map[model.NodeRef]remote
	quarantined bool
	expires     time.Time
	// spread is set when every agent of the service knows the suspicion and none runs the request.
	spread bool
	// tried is set for good when the trial was granted: its result may be lost.
	tried bool
}

func (a entryID) compare(b entryID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

func (e entry) crashes() int {
	n := int(e.own)
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
