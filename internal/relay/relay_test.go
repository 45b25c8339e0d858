package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/internal/secret"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against references and loads that do not survive formatting and parsing.
func TestHeadersRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ref := model.TargetRef{
			Service: rapid.StringMatching(`[a-z0-9.-]+`).Draw(t, "service"), ID: rapid.StringMatching(`[a-z0-9.:/-]+`).Draw(t, "id"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		}
		got, ok := ParseTarget(FormatTarget(ref))
		require.True(t, ok)
		require.Equal(t, ref, got)
	})
	for _, text := range []string{"", "a", "a/b", "a/b/c", "/b/1", "a//1", "a/b/-1"} {
		_, ok := ParseTarget(text)
		require.False(t, ok, text)
	}
	load, ok := ParseLoad(Load{InFlight: 3, Limit: 7}.String())
	require.True(t, ok)
	require.Equal(t, Load{InFlight: 3, Limit: 7}, load)
}

// Guards against signatures that are valid for other requests, and against a secret that is ignored.
func TestSignatureCoversAllParts(t *testing.T) {
	s := NewSigner([]byte("secret"), nil)
	parts := SignedFields{Exchange: "e", Method: "GET", URI: "/", Target: "t", Key: "k"}
	signature := s.Sign(parts)
	require.NoError(t, s.Verify(parts, signature))
	for _, other := range []SignedFields{
		{Exchange: "f", Method: "GET", URI: "/", Target: "t", Key: "k"},
		{Exchange: "e", Method: "PUT", URI: "/", Target: "t", Key: "k"},
		{Exchange: "e", Method: "GET", URI: "/t", Target: "", Key: "k"},
		{Exchange: "e", Method: "GET", URI: "/", Target: "tk", Key: ""},
	} {
		require.ErrorIs(t, s.Verify(other, signature), ErrSignature)
	}
	require.ErrorIs(t, NewSigner([]byte("other"), nil).Verify(parts, signature), ErrSignature)
	accepted := secret.NewSet(secret.Config{Secrets: [][]byte{[]byte("unused"), []byte("secret")}})
	require.NoError(t, NewSigner([]byte("other"), accepted).Verify(parts, signature), "a secret that is being replaced")
	require.EqualValues(t, 1, accepted.Uses())
	require.ErrorIs(t, s.Verify(parts, ""), ErrSignature)
}

// Guards against forwarding hop-by-hop headers or those of the fleet.
func TestCopyHeader(t *testing.T) {
	src := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Auburnwinch-Outcome": {"done"},
		"Set-Cookie": {"a", "b"}, "Content-Length": {"3"},
	}
	dst := http.Header{}
	CopyHeader(dst, src)
	require.Equal(t, http.Header{"Set-Cookie": {"a", "b"}}, dst)
}

// Guards against trailers that match a different body.
func TestChecksum(t *testing.T) {
	var sum Checksum
	sum.Add([]byte("123456789"))
	h := http.Header{}
	sum.WriteTrailer(h)
	require.Equal(t, "e3069283", h.Get(model.HeaderChecksum), "check value of CRC-32C")
	require.NoError(t, sum.Verify(h))
	sum.Add([]byte("0"))
	require.ErrorIs(t, sum.Verify(h), ErrChecksum)
	require.ErrorIs(t, sum.Verify(http.Header{}), ErrChecksum)
}

// Guards against sending requests on idle connections that the peer has closed, which would leave their outcome
// unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	defer server.Close()
	pool := NewPool(PoolConfig{Address: server.Listener.Addr().String()})
	defer pool.Close()
	roundTrip(t, pool, false)
	require.Equal(t, 1, pool.Idle())
	roundTrip(t, pool, true)
	server.CloseClientConnections()
	time.Sleep(20 * time.Millisecond)
	roundTrip(t, pool, false)
	pool.CloseIdle()
	require.Zero(t, pool.Idle())
	roundTrip(t, pool, false)
	pool.CloseExpired(time.Now().Add(time.Hour))
	require.Zero(t, pool.Idle())
}

func roundTrip(t *testing.T, pool *Pool, reused bool) {
	c, err := pool.Get(t.Context(), ConnAny)
	require.NoError(t, err)
	require.Equal(t, reused, c.Reused())
	response, err := c.RoundTrip(t.Context(), &Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: strings.NewReader("abc"), ContentLength: 3,
	})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "abc", string(body))
	c.Release()
}

// Guards against responses that exhaust memory or crash the client, and against errors of the wrong kind.
func TestMalformedResponses(t *testing.T) {
	cases := map[string]struct {
		response string
		kind     error
	}{
		"empty":       {"", ErrBroken},
		"garbage":     {"garbage\r\n\r\n", ErrBroken},
		"status":      {"HTTP/1.1 x\r\n\r\n", ErrBroken},
		"cut":         {"HTTP/1.1 200 OK\r\nContent-Le", ErrBroken},
		"large":       {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), ErrBroken},
		"interim":     {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100_000), ErrBroken},
		"other":       {"HTTP/1.1 101 Switching Protocols\r\n\r\n", ErrBroken},
		"silent":      {"silent", ErrTimeout},
		"silent head": {"HTTP/1.1 200 OK\r\nsilent", ErrTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(PoolConfig{Address: listen(t, c.response)})
			conn, err := pool.Get(t.Context(), ConnAny)
			require.NoError(t, err)
			_, err = conn.RoundTrip(t.Context(), &Request{
				Method: "GET", URI: "/", Host: "h", Header: http.Header{}, HeaderTimeout: 100 * time.Millisecond,
			})
			require.ErrorIs(t, err, c.kind)
		})
	}
	_, err := NewPool(PoolConfig{Address: "127.0.0.1:1"}).Get(t.Context(), ConnAny)
	require.ErrorIs(t, err, ErrDial)
}

// listen sends one fixed response on each connection; a response that ends in `silent` keeps the connection open.
func listen(t *testing.T, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			text, silent := strings.CutSuffix(response, "silent")
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.Copy(conn, bytes.NewReader([]byte(text)))
			if !silent {
				_ = conn.Close()
			}
		}
	}()
	return listener.Addr().String()
}
