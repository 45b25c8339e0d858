package peer

import (
	"net"
	"net/netip"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// receive reads datagrams until the socket is closed.
func (p *Peer) receive() {
	// A datagram longer than maxPacket fills the extra byte; without it, the datagram would be truncated to maxPacket
	// unnoticed.
	buffer := make([]byte, maxPacket+1)
	for p.ctx.Err() == nil {
		n, source, err := p.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		p.counters.datagramsReceived.Add(1)
		p.counters.bytesReceived.Add(uint64(n + datagramOverhead))
		p.receiveOne(buffer[:n], netip.AddrPortFrom(source.Addr().Unmap(), source.Port()).String())
	}
}

func (p *Peer) receiveOne(packet []byte, source string) {
	start := time.Now()
	d, err := p.sealer.open(packet)
	p.counters.busy.Add(uint64(time.Since(start)))
	if err != nil {
		p.reject(source, err)
		return
	}
	p.execute(p.update(member.DatagramMsg{Now: p.config.Clock.Now(), Source: source, Datagram: d}))
}

func (p *Peer) send(cmd member.SendCmd) {
	start := time.Now()
	defer func() { p.counters.busy.Add(uint64(time.Since(start))) }()
	packet, err := p.sealer.seal(cmd.Datagram)
	if err != nil {
		p.reject("outgoing datagram", err)
		return
	}
	address, err := resolve(cmd.Address)
	if err != nil {
		level.Warn(p.log).Log("msg", "datagram not sent", "address", cmd.Address, "err", err)
		return
	}
	if p.config.DropDatagram != nil && p.config.DropDatagram(cmd.Address) {
		return
	}
	// A failed send is ignored: it has the same effect as a datagram lost on the network, which the protocol tolerates.
	if n, err := p.datagrams.WriteToUDPAddrPort(packet, address); err == nil {
		p.counters.datagramsSent.Add(1)
		p.counters.bytesSent.Add(uint64(n + datagramOverhead))
	}
}

// resolve parses an address of the form IP:port. Host names are rejected, because looking one up can block for seconds.
func resolve(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "parse the peer address as IP:port")
	}
	return parsed, nil
}

// listen opens TCP and UDP listeners on the same port.
func listen(address string) (net.Listener, *net.UDPConn, error) {
	var last error
	for range listenAttempts {
		stream, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "listen for peers on %s; free the port or change the address", address)
		}
		local := stream.Addr().(*net.TCPAddr)
		packets, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP, Port: local.Port, Zone: local.Zone})
		if err == nil {
			return stream, packets, nil
		}
		_ = stream.Close()
		last = err
	}
	return nil, nil, eris.Wrapf(last, "listen for datagrams on %s; free the port or change the address", address)
}

// listenAttempts bounds how many ports are tried to find one that is free for both TCP and UDP; if the address has port
// 0, the system chooses another port in each attempt.
const listenAttempts = 20
