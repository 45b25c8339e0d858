package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/secret"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
)

// MinSecret is the least length of the fleet secret, in bytes.
const MinSecret = 16

// Service is an additional net/rpc receiver that the node serves to other nodes.
type Service struct {
	Name     string
	Receiver any
}

// Config holds the parts from which New builds a peer; Self, Listen and Secret are required.
type Config struct {
	// Self describes the own node. A zero incarnation is drawn from the clock; an empty PeerAddress becomes the address
	// on which the peer listens.
	Self model.Node
	// Listen is the address of the peers' listener, for UDP and TCP; it defaults to Self.PeerAddress.
	Listen string
	// Secret is the fleet secret, at least MinSecret bytes.
	Secret []byte
	// AcceptedSecrets are further secrets that other nodes may use during a change of the secret.
	AcceptedSecrets *secret.Set
	// TLS enables mutual TLS on the TCP side; it is called for each new connection, so that keys can change. The settings
	// that it returns hold Certificates, RootCAs and, unless they are the same, ClientCAs.
	TLS func() *tls.Config
	// Seeds are peer addresses that are dialled when Registered is nil, fails or lists no other node.
	Seeds []string
	// RegisteredNodes lists the nodes in the registry of the platform.
	RegisteredNodes func(context.Context) ([]model.Node, error)
	Services        []Service
	// OnChange receives each new snapshot, in order, on one goroutine.
	OnChange func(*member.Snapshot)
	// OnNewerTicket is called when a peer shows a larger number in force than the own record: once per number, and
	// again every 250 ms while the number stays behind. It runs on a goroutine of its own and may block.
	OnNewerTicket func(peer model.Node, number uint64)
	// OnReplaced is called when another process runs under the own ID with a larger incarnation; it must not block.
	OnReplaced func(by model.NodeRef)
	// Dial opens connections to other nodes; it defaults to the dialer of the system.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DropDatagram reports that a datagram to the address must not be sent; by default all are sent.
	DropDatagram func(address string) bool
	// Clock defaults to the clock of the process.
	Clock timer.Service
	// Logger defaults to no logging.
	Logger log.Logger
	// Seed makes the choice of peers repeatable; zero draws a random one.
	Seed uint64
}

func (c *Config) complete() error {
	if n := len(c.Self.Ref.ID); n == 0 || n > member.MaxID {
		return eris.Errorf("node ID has %d bytes; set Config.Self.Ref.ID to 1 to %d bytes", n, member.MaxID)
	}
	if c.Listen == "" {
		c.Listen = c.Self.PeerAddress
	}
	if c.Listen == "" {
		return eris.New("peer has no listen address; set Config.Listen, for example 127.0.0.1:7400")
	}
	if len(c.Secret) < MinSecret {
		return eris.Errorf("fleet secret has %d bytes; set one of at least %d", len(c.Secret), MinSecret)
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Self.Ref.Incarnation == 0 {
		c.Self.Ref.Incarnation = uint64(c.Clock.Now().UnixMicro())
	}
	return nil
}

// checkAdvertised checks that other nodes can dial the own address.
func checkAdvertised(address string) error {
	parsed, err := resolve(address)
	if err != nil {
		return eris.Wrapf(err, "peer address %s", address)
	}
	if parsed.Addr().IsUnspecified() {
		return eris.Errorf("peer address %s names no interface; set Config.Self.PeerAddress to the address of this VM", address)
	}
	return nil
}
