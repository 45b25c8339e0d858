package peers

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxDatagramBytes is larger than any datagram that a node sends.
const maxDatagramBytes = 2048

// node is one simulated member; the mutex of the fleet guards record and running.
type node struct {
	fleet   *Fleet
	record  member.NodeRecord
	running bool
	// targets are the targets that the member has after each start.
	targets []model.Target

	services      *rpc.Server
	udpConn       *net.UDPConn
	rpcListener   net.Listener
	relayListener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// peerService handles the membership calls to a member.
type peerService struct{ node *node }

// ticketService handles the calls for tickets.
type ticketService struct{ fleet *Fleet }

// Echo returns at once.
func (r *peerService) Echo(peer.Empty, *peer.Empty) error { return nil }

// Sync handles the first call of anti-entropy from the shared records.
func (r *peerService) Sync(request member.SyncRequest, reply *member.SyncReply) error {
	f := r.node.fleet
	cmds := f.update(member.SyncRequestMsg{Now: time.Now(), Request: request})
	f.execute(r.node, cmds)
	for _, cmd := range cmds {
		if c, ok := cmd.(member.SyncReplyCmd); ok {
			*reply = c.Reply
			reply.From, _ = f.refAt(r.node.record.Node.PeerAddress)
			return nil
		}
	}
	return eris.New("request refused; check that both sides run the same version")
}

// Fetch merges the records of the request and returns the requested ones.
func (r *peerService) Fetch(request member.FetchRequest, reply *member.FetchReply) error {
	f := r.node.fleet
	cmds := f.update(member.FetchRequestMsg{Now: time.Now(), Request: request})
	f.execute(r.node, cmds)
	for _, cmd := range cmds {
		if c, ok := cmd.(member.FetchReplyCmd); ok {
			*reply = c.Reply
			return nil
		}
	}
	return eris.New("request refused; check that both sides run the same version")
}

// After returns the tickets after a ticket number.
func (t *ticketService) After(args ticket.AfterArgs, reply *ticket.AfterReply) (err error) {
	t.fleet.mu.Lock()
	held := t.fleet.tickets
	t.fleet.mu.Unlock()
	reply.Packed, err = ticket.EncodeBatch(ticket.BatchMsg{Tickets: held[min(args.Number, uint64(len(held))):]})
	return err
}

func (n *node) listen() error {
	address, err := net.ResolveUDPAddr("udp", n.record.Node.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "resolve the peer address of a member")
	}
	if n.udpConn, err = net.ListenUDP("udp", address); err != nil {
		return eris.Wrap(err, "listen for datagrams of a member; remedy: choose another network")
	}
	if n.rpcListener, err = net.Listen("tcp", n.record.Node.PeerAddress); err != nil {
		return eris.Wrap(err, "listen for calls of a member; remedy: choose another network")
	}
	if n.relayListener, err = net.Listen("tcp", n.record.Node.RelayAddress); err != nil {
		return eris.Wrap(err, "listen for relayed requests of a member; remedy: choose another network")
	}
	n.conns = make(map[net.Conn]struct{})
	n.services = rpc.NewServer()
	if err := n.services.RegisterName("Peer", &peerService{n}); err != nil {
		return err
	}
	return n.services.RegisterName(ticket.RPCService, &ticketService{n.fleet})
}

func (n *node) serve() {
	n.fleet.group.Go(n.receive)
	n.fleet.group.Go(n.accept)
	n.fleet.group.Go(func() {
		_ = n.fleet.relay.Serve(n.fleet.Requests.Listener(n.relayListener)) // It returns when the fleet is closed.
	})
}

func (n *node) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := n.udpConn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if d, err := n.fleet.transport.Open(buffer[:size]); err == nil {
			n.fleet.receive(n, d)
		}
	}
}

func (n *node) accept() {
	for {
		conn, err := n.rpcListener.Accept()
		if err != nil {
			return
		}
		if !n.trackConn(conn) {
			_ = conn.Close()
			continue
		}
		n.fleet.group.Go(func() {
			_ = n.fleet.transport.Serve(conn, n.services) // The real node reconnects.
			n.mu.Lock()
			delete(n.conns, conn)
			n.mu.Unlock()
			_ = conn.Close()
		})
	}
}

func (n *node) trackConn(conn net.Conn) bool {
	n.fleet.mu.Lock()
	up := n.running && n.fleet.ctx.Err() == nil
	n.fleet.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if up {
		n.conns[conn] = struct{}{}
	}
	return up
}

// send sends a datagram to the real node with the member as the sender.
func (n *node) send(d *member.Datagram) {
	n.fleet.mu.Lock()
	d.From = n.record.Node.Ref
	n.fleet.mu.Unlock()
	if packet, err := n.fleet.transport.Seal(d); err == nil {
		_, _ = n.udpConn.WriteToUDPAddrPort(packet, n.fleet.realAddress) // Datagrams may be lost in any case.
	}
}

// closeConns closes the connections of a member that stops.
func (n *node) closeConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		_ = conn.Close()
	}
}

func (n *node) close() {
	for _, c := range []interface{ Close() error }{n.udpConn, n.rpcListener, n.relayListener} {
		if c != nil && c != (*net.UDPConn)(nil) {
			_ = c.Close()
		}
	}
	n.closeConns()
}
