package node

import (
	stdlog "log"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// serverErrorLog converts the log lines of net/http, such as those about malformed requests, to JSON lines.
func (n *Node) serverErrorLog(name string) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(level.Warn(log.With(n.logger, "listener", name))), "", 0)
}
