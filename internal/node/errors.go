package node

import "github.com/rotisserie/eris"

var errPeerGone = eris.New("the peer left the fleet; another source is asked")
