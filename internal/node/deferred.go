package node

import (
	"context"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// deferredCaller calls other nodes through a peer that is created after the components that use it.
type deferredCaller struct {
	peer atomic.Pointer[peer.Peer]
}

func (l *deferredCaller) connect(p *peer.Peer) {
	l.peer.Store(p)
}

// Call fails with peer.ErrUnsent until connect was called.
func (l *deferredCaller) Call(ctx context.Context, node model.Node, method string, args, reply any) error {
	p := l.peer.Load()
	if p == nil {
		return peer.ErrUnsent
	}
	return p.Call(ctx, node, method, args, reply)
}
