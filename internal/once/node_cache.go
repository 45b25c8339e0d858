package once

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxCachedNodes bounds the cache. The design size is 670 nodes, each of which restarts three times a day.
const maxCachedNodes = 4096

// nodeCache lets all key records share one copy of each node; a copy is seven times as large as a record.
type nodeCache struct {
	nodes atomic.Pointer[map[model.NodeRef]*model.Node]
	mu    sync.Mutex
}

// intern returns the shared copy of the node.
func (c *nodeCache) intern(n model.Node) *model.Node {
	if shared := c.find(n); shared != nil {
		return shared
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[model.NodeRef]*model.Node)
	if nodes := c.nodes.Load(); nodes != nil && len(*nodes) < maxCachedNodes {
		maps.Copy(next, *nodes)
	}
	next[n.Ref] = &n
	c.nodes.Store(&next)
	return &n
}

func (c *nodeCache) find(n model.Node) *model.Node {
	nodes := c.nodes.Load()
	if nodes == nil {
		return nil
	}
	if shared := (*nodes)[n.Ref]; shared != nil && *shared == n {
		return shared
	}
	return nil
}
