package edge

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// serverErrorHeaders is part of the responses that net/http itself sends to requests that it can't parse.
const serverErrorHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// NewServer returns the HTTP server for a listener for callers.
func NewServer(e *Edge, logger log.Logger) *http.Server {
	return withConn(relay.NewServer(e, relay.CallerHeaderBytes, logger))
}

// Listener accepts connections on which malformed requests are refused in the format of this package and logged.
// net/http rejects such requests before any handler sees them.
type Listener struct {
	net.Listener
	logger log.Logger
}

// callerConn replaces the error responses that net/http itself sends.
type callerConn struct {
	*net.TCPConn
	logger log.Logger
}

// NewListener wraps a TCP listener; other connections pass unchanged.
func NewListener(l net.Listener, logger log.Logger) *Listener {
	if logger == nil {
		logger = log.NewNopLogger()
	}
	return &Listener{Listener: l, logger: logger}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return &callerConn{TCPConn: tcp, logger: l.logger}, nil
	}
	return conn, err
}

// Write writes p, or a refusal in its place if p is an error response of net/http to a malformed request.
func (c *callerConn) Write(p []byte) (int, error) {
	status, text, ok := serverError(p)
	if !ok {
		return c.TCPConn.Write(p)
	}
	_ = level.Warn(c.logger).Log("msg", "malformed request refused", "peer", c.RemoteAddr(), "status", status, "err", text)
	if _, err := c.TCPConn.Write(malformedAnswer(status, text)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// serverError parses an error response that net/http itself sent.
func serverError(p []byte) (status int, text string, ok bool) {
	line, found := bytes.CutPrefix(p, []byte("HTTP/1.1 "))
	if !found || len(line) < 3 || line[0] < '4' {
		return 0, "", false
	}
	head, body, found := bytes.Cut(line, []byte(serverErrorHeaders))
	if !found || bytes.Contains(head, []byte("\r\n")) {
		return 0, "", false
	}
	status, err := strconv.Atoi(string(head[:3]))
	return status, string(body), err == nil
}

func malformedAnswer(status int, text string) []byte {
	body, _ := json.Marshal(model.Answer{Outcome: model.OutcomeNotRun, Reason: text, Remedy: remedyFix})
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	b.WriteString(model.HeaderOutcome + ": " + string(model.OutcomeNotRun) + "\r\n")
	b.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n")
	b.WriteString("Connection: close\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}
