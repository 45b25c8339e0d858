package hosted

import (
	"net"
	"time"
)

const (
	// aliveIdle, aliveInterval and aliveCount detect a connection that went silent for good within three seconds: the
	// platform takes a node as out of touch for that long after its connections were lost.
	aliveIdle     = time.Second
	aliveInterval = time.Second
	aliveCount    = 2
)

// Dialer returns the dialer of all connections between nodes and to the store.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: aliveIdle, Interval: aliveInterval, Count: aliveCount,
	}}
}
