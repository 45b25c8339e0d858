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

// MinSecret is the minimum length of the fleet secret, in bytes.
const MinSecret = 16

// Service is an additional net/rpc receiver that this node serves to other nodes.
type Service struct {
	Name     string
	Receiver any
}

// Config configures a peer; Self, Listen and Secret are required.
type Config struct {
	// Self describes this node. A zero incarnation is set from the clock; an empty PeerAddress is set to the address
	// that the peer listens on.
	Self model.Node
	// Listen is the address to listen on, for UDP and TCP; it defaults to Self.PeerAddress.
	Listen string
	// Secret is the fleet secret, at least MinSecret bytes.
	Secret []byte
	// AcceptedSecrets are additional secrets that are accepted from other nodes during a rotation of the fleet secret.
	AcceptedSecrets *secret.Set
	// TLS enables mutual TLS for TCP; it is called for each new connection, so that keys can be rotated. The returned
	// configuration holds Certificates, RootCAs and, if they differ, ClientCAs.
	TLS func() *tls.Config
	// Seeds are peer addresses to contact when RegisteredNodes is nil, fails or lists no other node.
	Seeds []string
	// RegisteredNodes lists the nodes in the registry of the platform.
	RegisteredNodes func(context.Context) ([]model.Node, error)
	Services        []Service
	// OnChange receives each new snapshot, in order, from a single goroutine.
	OnChange func(*member.Snapshot)
	// OnNewerTicket is called when a larger ticket number is in force at a peer than at this node: once per number, and
	// again every 250 ms until this node has caught up. It runs on its own goroutine and may block.
	OnNewerTicket func(peer model.Node, number uint64)
	// OnReplaced is called when another process runs under the ID of this node with a larger incarnation; it must not
	// block.
	OnReplaced func(by model.NodeRef)
	// Dial opens connections to other nodes; it defaults to net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DropDatagram reports whether to drop a datagram to the address, to simulate packet loss; by default none is
	// dropped.
	DropDatagram func(address string) bool
	// Clock defaults to the system clock.
	Clock timer.Service
	// Logger defaults to no logging.
	Logger log.Logger
	// Seed makes the random choice of peers reproducible; zero selects a random seed.
	Seed uint64
}

func (c *Config) setDefaults() error {
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

// checkAdvertised checks that other nodes can dial the address.
func checkAdvertised(address string) error {
	parsed, err := resolve(address)
	if err != nil {
		return eris.Wrapf(err, "peer address %s", address)
	}
	if parsed.Addr().IsUnspecified() {
		return eris.Errorf("peer address %s is unspecified; set Config.Self.PeerAddress to the address of this VM", address)
	}
	return nil
}
