package peer

import (
	"context"
	"net"
	"net/rpc"

	"github.com/auburnwinch/auburnwinch/internal/member"
)

// Transport speaks the protocol between nodes without a membership of its own; stand-ins of nodes use it.
type Transport struct {
	secret []byte
	sealer sealer
	pool   *pool
	cancel context.CancelFunc
}

// NewTransport returns a wire with the fleet secret; Close ends its connections.
func NewTransport(secret []byte) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	c := Config{Secret: secret, Dial: (&net.Dialer{}).DialContext}
	return &Transport{
		secret: secret, sealer: newSealer(secret, nil), cancel: cancel,
		pool: newPool(ctx, c, &counters{}, func(string, error) {}),
	}
}

// Seal encodes and authenticates a datagram; it fails with ErrOversized.
func (w *Transport) Seal(d *member.Datagram) ([]byte, error) { return w.sealer.seal(d) }

// Open checks and decodes a packet; it fails with ErrOversized, ErrMalformed or ErrForged.
func (w *Transport) Open(packet []byte) (*member.Datagram, error) { return w.sealer.open(packet) }

// Serve answers the calls on a connection until it ends; it fails when the other side does not know the secret.
func (w *Transport) Serve(conn net.Conn, services *rpc.Server) error {
	keys, err := serverHandshake(conn, w.secret, nil)
	if err != nil {
		return err
	}
	frame := newFrameConn(conn, keys.toServer, keys.toClient, serverIdle)
	services.ServeCodec(&serverCodec{frameCodec{frameConn: frame, reject: func(error) {}}})
	return nil
}

// Call runs a method at an address.
func (w *Transport) Call(ctx context.Context, address, method string, args, reply any) error {
	return w.pool.call(ctx, address, method, args, reply)
}

// Close ends the connections that Call opened.
func (w *Transport) Close() {
	w.cancel()
	w.pool.close()
}
