package relay

import (
	stdlog "log"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// CallerHeaderBytes limits the header of a caller's request.
	CallerHeaderBytes = 64 << 10
	// RelayHeaderBytes limits the header of a relayed request, which holds that of the caller and those of the fleet.
	RelayHeaderBytes  = CallerHeaderBytes + 8<<10
	readHeaderTimeout = 10 * time.Second
	// serverIdleTimeout is longer than the idle timeout of pools, so that requests are not sent on a connection that is
	// closing.
	serverIdleTimeout = 90 * time.Second
)

// NewServer returns an HTTP server with the limits of the caller and relay listeners.
func NewServer(handler http.Handler, maxHeaderBytes int, logger log.Logger) *http.Server {
	if logger == nil {
		logger = log.NewNopLogger()
	}
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: serverIdleTimeout, ErrorLog: stdlog.New(log.NewStdlibAdapter(level.Warn(logger)), "", 0),
	}
}
