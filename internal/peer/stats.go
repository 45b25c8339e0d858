package peer

import (
	"net"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/member"
)

const (
	// datagramOverhead is the size of the IPv4 and UDP headers of a datagram, in bytes.
	datagramOverhead = 28
	// connectionOverhead is the size of the TCP/IP packets that open and close a connection, in bytes.
	connectionOverhead = 360
	// segmentOverhead is the size of the TCP/IP headers of a segment with timestamps, in bytes.
	segmentOverhead = 52
)

// State is the state of the peer for the state dump.
type State struct {
	Members member.State `json:"members"`
	Traffic Stats        `json:"traffic"`
	// Connections counts cached connections to other nodes, Inbound open connections from other nodes.
	Connections int `json:"connections"`
	Inbound     int `json:"inbound"`
}

// Stats counts control traffic since the start of the process; byte counts include estimated IP, UDP and TCP headers.
type Stats struct {
	DatagramsSent     uint64 `json:"datagrams-sent"`
	DatagramsReceived uint64 `json:"datagrams-received"`
	BytesSent         uint64 `json:"bytes-sent"`
	BytesReceived     uint64 `json:"bytes-received"`
	CallsSent         uint64 `json:"calls-sent"`
	ConnectionsOpened uint64 `json:"connections-opened"`
	ConnectionsSilent uint64 `json:"connections-silent"`
	Malformed         uint64 `json:"malformed"`
	Forged            uint64 `json:"forged"`
	Oversized         uint64 `json:"oversized"`
	Stale             uint64 `json:"stale"`
	// BusyNanoseconds is the time spent on control work: encoding, decoding and updating the module.
	BusyNanoseconds uint64 `json:"busy-nanoseconds"`
}

// counters holds the values of Stats.
type counters struct {
	datagramsSent, datagramsReceived     atomic.Uint64
	bytesSent, bytesReceived             atomic.Uint64
	callsSent                            atomic.Uint64
	connectionsOpened, connectionsSilent atomic.Uint64
	malformed, forged, oversized         atomic.Uint64
	stale                                atomic.Uint64
	busy                                 atomic.Uint64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	counters *counters
}

func (c *counters) snapshot() Stats {
	return Stats{
		DatagramsSent:     c.datagramsSent.Load(),
		DatagramsReceived: c.datagramsReceived.Load(),
		BytesSent:         c.bytesSent.Load(),
		BytesReceived:     c.bytesReceived.Load(),
		CallsSent:         c.callsSent.Load(),
		ConnectionsOpened: c.connectionsOpened.Load(),
		ConnectionsSilent: c.connectionsSilent.Load(),
		Malformed:         c.malformed.Load(),
		Forged:            c.forged.Load(),
		Oversized:         c.oversized.Load(),
		Stale:             c.stale.Load(),
		BusyNanoseconds:   c.busy.Load(),
	}
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.counters.bytesReceived.Add(uint64(n + segmentOverhead))
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.counters.bytesSent.Add(uint64(n + segmentOverhead))
	}
	return n, err
}
