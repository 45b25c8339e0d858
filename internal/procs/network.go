package procs

import (
	"fmt"
	"io"
	"net"

	"github.com/rotisserie/eris"
)

// lockPort is the port whose listener marks a loopback network as in use.
const lockPort = 7000

// ClaimNetwork reserves the first free loopback network 127.<n>.x.y from first to last on this machine; closing the
// claim releases it. Two deployments on the same network would receive each other's requests.
func ClaimNetwork(first, last int) (network int, claim io.Closer, err error) {
	for network = first; network <= last; network++ {
		if claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", network, lockPort)); err == nil {
			return network, claim, nil
		}
	}
	return 0, nil, eris.Wrapf(err, "no free loopback network from 127.%d to 127.%d; stop other runs", first, last)
}
