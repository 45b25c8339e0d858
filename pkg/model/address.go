package model

import (
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

// MaxSlots bounds the slots of one target.
const MaxSlots = 100_000

// maxPort is the highest TCP port.
const maxPort = 65535

// CheckAddress fails unless the address is host:port with a port between 1 and 65535.
func CheckAddress(address string) error {
	host, text, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return eris.Errorf("the address %q is not host:port", address)
	}
	if port, err := strconv.Atoi(text); err != nil || port < 1 || port > maxPort {
		return eris.Errorf("the address %q needs a port between 1 and %d", address, maxPort)
	}
	return nil
}
