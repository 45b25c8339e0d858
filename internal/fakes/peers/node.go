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

// packetBytes is more than a datagram of the fleet can hold.
const packetBytes = 2048

// node is one member; the mutex of the fleet guards record and up.
type node struct {
	fleet  *Fleet
	record member.NodeRecord
	up     bool
	// targets are those that the member has after each start.
	targets []model.Target

	services *rpc.Server
	packets  *net.UDPConn
	calls    net.Listener
	relay    net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// receiver answers the calls of the membership in the name of a member.
type receiver struct{ node *node }

// tickets answers the calls for tickets.
type tickets struct{ fleet *Fleet }

// Echo answers at once.
func (r *receiver) Echo(peer.Empty, *peer.Empty) error { return nil }

// Sync answers the opening of anti-entropy from the shared records.
func (r *receiver) Sync(request member.SyncRequest, reply *member.SyncReply) error {
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

// Fetch takes over and returns records.
func (r *receiver) Fetch(request member.FetchRequest, reply *member.FetchReply) error {
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

// After answers with the tickets after a number.
func (t *tickets) After(args ticket.AfterArgs, reply *ticket.AfterReply) (err error) {
	t.fleet.mu.Lock()
	held := t.fleet.tickets
	t.fleet.mu.Unlock()
	reply.Packed, err = ticket.EncodeBatch(ticket.BatchMsg{Tickets: held[min(args.Number, uint64(len(held))):]})
	return err
}

func (n *node) listen() error {
	address, err := net.ResolveUDPAddr("udp", n.record.Node.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "peer address of a member")
	}
	if n.packets, err = net.ListenUDP("udp", address); err != nil {
		return eris.Wrap(err, "open the datagrams of a member; choose another network")
	}
	if n.calls, err = net.Listen("tcp", n.record.Node.PeerAddress); err != nil {
		return eris.Wrap(err, "open the calls of a member; choose another network")
	}
	if n.relay, err = net.Listen("tcp", n.record.Node.RelayAddress); err != nil {
		return eris.Wrap(err, "open the relay of a member; choose another network")
	}
	n.conns = make(map[net.Conn]struct{})
	n.services = rpc.NewServer()
	if err := n.services.RegisterName("Peer", &receiver{n}); err != nil {
		return err
	}
	return n.services.RegisterName(ticket.RPCService, &tickets{n.fleet})
}

func (n *node) serve() {
	n.fleet.group.Go(n.receive)
	n.fleet.group.Go(n.accept)
	n.fleet.group.Go(func() {
		_ = n.fleet.relay.Serve(n.fleet.Requests.Listener(n.relay)) // It ends when the fleet is closed.
	})
}

func (n *node) receive() {
	buffer := make([]byte, packetBytes)
	for {
		size, _, err := n.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if d, err := n.fleet.wire.Open(buffer[:size]); err == nil {
			n.fleet.receive(n, d)
		}
	}
}

func (n *node) accept() {
	for {
		conn, err := n.calls.Accept()
		if err != nil {
			return
		}
		if !n.keep(conn) {
			_ = conn.Close()
			continue
		}
		n.fleet.group.Go(func() {
			_ = n.fleet.wire.Serve(conn, n.services) // The real node dials again.
			n.mu.Lock()
			delete(n.conns, conn)
			n.mu.Unlock()
			_ = conn.Close()
		})
	}
}

func (n *node) keep(conn net.Conn) bool {
	n.fleet.mu.Lock()
	up := n.up && n.fleet.ctx.Err() == nil
	n.fleet.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if up {
		n.conns[conn] = struct{}{}
	}
	return up
}

// send sends a datagram in the name of the member.
func (n *node) send(d *member.Datagram) {
	n.fleet.mu.Lock()
	d.From = n.record.Node.Ref
	n.fleet.mu.Unlock()
	if packet, err := n.fleet.wire.Seal(d); err == nil {
		_, _ = n.packets.WriteToUDPAddrPort(packet, n.fleet.real) // A datagram may be lost.
	}
}

// cut closes the connections of a member that stops.
func (n *node) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		_ = conn.Close()
	}
}

func (n *node) close() {
	for _, c := range []interface{ Close() error }{n.packets, n.calls, n.relay} {
		if c != nil && c != (*net.UDPConn)(nil) {
			_ = c.Close()
		}
	}
	n.cut()
}
