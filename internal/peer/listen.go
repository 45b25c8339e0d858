package peer

import (
	"net"

	"github.com/rotisserie/eris"
)

// listenAttempts bounds the search for a port that is free for both TCP and UDP when the address leaves it open.
const listenAttempts = 20

// listen opens TCP and UDP on the same port.
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
