package ticket

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// readersPerDomain is 2, so that one reader of a failure domain can fail without a gap in the reads.
const readersPerDomain = 2

// IsReader reports whether the node is one of the readers of its failure domain, which are the nodes with the lowest
// rendezvous hash. The nodes must be the live ones; additional readers caused by differing views are harmless.
func IsReader(self model.Node, nodes []model.Node) bool {
	lower := 0
	for _, n := range nodes {
		if n.Domain == self.Domain && n.Ref.ID != self.Ref.ID && compareRank(n, self) < 0 {
			lower++
		}
	}
	return lower < readersPerDomain
}

// Readers returns the readers of all failure domains, sorted by node ID.
func Readers(nodes []model.Node) []model.NodeRef {
	var readers []model.NodeRef
	for _, n := range nodes {
		if IsReader(n, nodes) {
			readers = append(readers, n.Ref)
		}
	}
	slices.SortFunc(readers, func(a, b model.NodeRef) int { return cmp.Compare(a.ID, b.ID) })
	return readers
}

func compareRank(a, b model.Node) int {
	if c := cmp.Compare(rank(a), rank(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.Ref.ID, b.Ref.ID)
}

func rank(n model.Node) uint64 {
	return xxhash.Sum64String(n.Domain + "\x00" + n.Ref.ID)
}
