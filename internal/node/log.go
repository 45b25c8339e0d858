package node

import (
	stdlog "log"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// serverLog turns the lines of net/http, such as malformed requests, into JSON lines.
func (n *Node) serverLog(name string) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Warn(log.With(n.logger, "listener", name))), "", 0)
}
