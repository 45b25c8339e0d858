package procs

import (
	"fmt"
	"io"
	"net"

	"github.com/rotisserie/eris"
)

// claimPort is held on a network for as long as a deployment uses it.
const claimPort = 7000

// ClaimNetwork returns the first loopback network 127.<n>.x.y from first to last that no other run on this machine has
// claimed; closing the claim frees it. Two deployments on one network would serve each other's callers.
func ClaimNetwork(first, last int) (network int, claim io.Closer, err error) {
	for network = first; network <= last; network++ {
		if claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", network, claimPort)); err == nil {
			return network, claim, nil
		}
	}
	return 0, nil, eris.Wrapf(err, "no loopback network from 127.%d to 127.%d is free; end other runs", first, last)
}
