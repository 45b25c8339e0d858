package hosted

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// aliveIdle, aliveInterval and aliveCount detect a connection that went silent for good within three seconds: the
	// platform takes a node as out of touch for that long after its connections were lost.
	aliveIdle     = time.Second
	aliveInterval = time.Second
	aliveCount    = 2
	// dialTimeout bounds a new connection, so that a node finds out soon that a path has come back.
	dialTimeout = time.Second
	// unackedMost bounds the time that sent bytes stay unacknowledged before the connection is closed.
	unackedMost = 3 * time.Second
)

// Dialer returns the dialer of all connections between nodes and to the store.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: aliveIdle, Interval: aliveInterval, Count: aliveCount},
		Control:         boundUnacked,
	}
}

func boundUnacked(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
