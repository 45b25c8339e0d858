package hosted

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection within three seconds, which is how
	// long the platform considers a node unreachable after its connections were lost.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// dialTimeout bounds a connection attempt, so that a node soon detects that a path has recovered.
	dialTimeout = time.Second
	// userTimeout is the TCP_USER_TIMEOUT: how long sent data may stay unacknowledged before the connection is closed.
	userTimeout = 3 * time.Second
)

// Dialer returns the dialer for connections between nodes and to the store.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
