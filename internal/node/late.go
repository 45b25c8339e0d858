package node

import (
	"context"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// lateCaller calls other nodes through a peer that starts after the parts that use it.
type lateCaller struct {
	peer atomic.Pointer[peer.Peer]
}

func (l *lateCaller) connect(p *peer.Peer) {
	l.peer.Store(p)
}

// Call fails with peer.ErrUnsent before the peer has started.
func (l *lateCaller) Call(ctx context.Context, node model.Node, method string, args, reply any) error {
	p := l.peer.Load()
	if p == nil {
		return peer.ErrUnsent
	}
	return p.Call(ctx, node, method, args, reply)
}
