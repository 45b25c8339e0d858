package syntax_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/syntax"
)

// get sends a request to a peer that sends the bytes and closes, and reads the whole body.
func get(t *testing.T, text string) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}()
	client := http.Client{Transport: syntax.Transport{RoundTripper: &http.Transport{}}}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + listener.Addr().String())
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against clients of net/http that believe heads which no server may send.
func TestTransportRefusesOddResponses(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{
		"blank in a name":        "HTTP/1.1 200 OK\r\nOdd Name: x\r\n" + end,
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"status 600":             "HTTP/1.1 600 OK\r\n" + end,
		"status 000":             "HTTP/1.1 000 OK\r\n" + end,
		"interim":                "HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"interims":               strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10_000) + "HTTP/1.1 200 OK\r\n" + end,
		"trailer":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nOdd Name: x\r\n\r\n",
		"value":                  "HTTP/1.1 200 OK\r\nX: a\x07b\r\n" + end,
	} {
		_, err := get(t, text)
		require.Error(t, err, name)
	}
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX: a\tb\r\n" + end,
		"interim": "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 599 OK\r\n" + end,
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: x\r\n\r\n",
	} {
		body, err := get(t, text)
		require.NoError(t, err, name)
		require.Equal(t, "ok", body, name)
	}
}
