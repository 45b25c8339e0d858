package peers

import (
	"net"
	"sync/atomic"
)

// Traffic counts the payload bytes of TCP connections, without IP and TCP headers.
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

// Listener returns a listener that counts the bytes of the connections that it accepts.
func (t *Traffic) Listener(l net.Listener) net.Listener { return &countedListener{l, t} }

// Conn returns a connection that counts its bytes.
func (t *Traffic) Conn(c net.Conn) net.Conn { return &countedConn{c, t} }

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(conn), nil
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Written.Add(int64(n))
	return n, err
}
