package peers

import (
	"net"
	"sync/atomic"
)

// Traffic counts bytes of connections, without the headers of IP and TCP.
type Traffic struct {
	Read, Written atomic.Int64
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Listener counts the bytes of the connections that the listener accepts.
func (t *Traffic) Listener(l net.Listener) net.Listener { return &countedListener{l, t} }

// Conn counts the bytes of the connection.
func (t *Traffic) Conn(c net.Conn) net.Conn { return &countedConn{c, t} }

// Accept waits for the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(conn), nil
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Read.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Written.Add(int64(n))
	return n, err
}
