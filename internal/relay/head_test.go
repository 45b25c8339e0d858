package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// exchangeRaw sends a GET to a peer that sends the bytes and closes, and returns the response with its body, or the error of
// the head or of the body.
func exchangeRaw(t *testing.T, method, text string) (*http.Response, string, error) {
	t.Helper()
	conn, err := NewPool(PoolConfig{Address: listen(t, text)}).Get(t.Context(), ConnAny)
	require.NoError(t, err)
	defer conn.Close()
	response, err := conn.RoundTrip(t.Context(), &Request{Method: method, URI: "/", Host: "h", Header: http.Header{}, HeaderTimeout: time.Second})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Pattern: a target in trouble sends bytes that look like a response but break the grammar of one. Guards against passing
// them on, with a body that is not the target's, and against believing what they state (MIXED, REFUSED).
func TestHeadsThatAreNoResponse(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\nok"
	cases := map[string]string{
		"blank in a name":          "HTTP/1.1 200 OK\r\nOdd Name: x\r\n" + end,
		"blank before the colon":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"blank before the coding":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"tab before the colon":     "HTTP/1.1 200 OK\r\nX\t: x\r\n" + end,
		"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01: x\r\n" + end,
		"NUL in a name":            "HTTP/1.1 200 OK\r\nX\x00: x\r\n" + end,
		"empty name":               "HTTP/1.1 200 OK\r\n: x\r\n" + end,
		"no colon":                 "HTTP/1.1 200 OK\r\nX\r\n" + end,
		"folded line":              "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n" + end,
		"blank line start":         "HTTP/1.1 200 OK\r\n X: a\r\n" + end,
		"byte above ASCII in name": "HTTP/1.1 200 OK\r\nX\xc3\xa9: a\r\n" + end,
		"NUL in a value":           "HTTP/1.1 200 OK\r\nX: a\x00b\r\n" + end,
		"CR in a value":            "HTTP/1.1 200 OK\r\nX: a\rb\r\n" + end,
		"control byte in a value":  "HTTP/1.1 200 OK\r\nX: a\x07b\r\n" + end,
		"DEL in a value":           "HTTP/1.1 200 OK\r\nX: a\x7fb\r\n" + end,
		"bare line feed":           "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"status 000":               "HTTP/1.1 000 OK\r\n" + end,
		"status 099":               "HTTP/1.1 099 OK\r\n" + end,
		"status +20":               "HTTP/1.1 +20 OK\r\n" + end,
		"status 600":               "HTTP/1.1 600 OK\r\n" + end,
		"status 999":               "HTTP/1.1 999 OK\r\n" + end,
		"status 1000":              "HTTP/1.1 1000 OK\r\n" + end,
		"two digits":               "HTTP/1.1 20 OK\r\n" + end,
		"blank before the status":  "HTTP/1.1  200 OK\r\n" + end,
		"control byte in a reason": "HTTP/1.1 200 O\x01K\r\n" + end,
		"version 2":                "HTTP/2.0 200 OK\r\n" + end,
		"version 1.2":              "HTTP/1.2 200 OK\r\n" + end,
		"101":                      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + end,
		"one length twice":         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + end,
		"list of lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
		"signed length":            "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"negative length":          "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
		"empty length":             "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok",
		"huge length":              "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\nok",
		"length and chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"other coding":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"coding twice":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"coding of version 1.0":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"204 with a body":          "HTTP/1.1 204 No Content\r\n" + end,
		"interim with a body":      "HTTP/1.1 103 Early Hints\r\n" + end + "HTTP/1.1 200 OK\r\n" + end,
		"interim with odd name":    "HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"interim with odd length":  "HTTP/1.1 103 Early Hints\r\nContent-Length : 5\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"interim with odd value":   "HTTP/1.1 102 Processing\r\nX: a\x00b\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
	}
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, body := range map[string]string{
		"signed chunk size":          "+2\r\nok\r\n0\r\n\r\n",
		"prefixed chunk size":        "0x2\r\nok\r\n0\r\n\r\n",
		"empty chunk size":           "\r\nok\r\n0\r\n\r\n",
		"blank after chunk size":     "2 \r\nok\r\n0\r\n\r\n",
		"huge chunk size":            "fffffffffffffffff\r\nok\r\n0\r\n\r\n",
		"negative chunk size":        "ffffffffffffffff\r\nok\r\n0\r\n\r\n",
		"chunk that is longer":       "2\r\nokay\r\n0\r\n\r\n",
		"bare line feed after size":  "2\nok\r\n0\r\n\r\n",
		"bare line feed after chunk": "2\r\nok\n0\r\n\r\n",
		"control byte in extension":  "2;a\x01\r\nok\r\n0\r\n\r\n",
		"CR in extension":            "2;a\rb\r\nok\r\n0\r\n\r\n",
		"long extension":             "2;" + strings.Repeat("x", 8<<10) + "\r\nok\r\n0\r\n\r\n",
		"many extensions":            strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\nx\r\n", 100) + "0\r\n\r\n",
		"trailer with odd name":      "2\r\nok\r\n0\r\nOdd Name: x\r\n\r\n",
		"trailer with odd colon":     "2\r\nok\r\n0\r\nX : x\r\n\r\n",
		"trailer with odd value":     "2\r\nok\r\n0\r\nX: a\x00b\r\n\r\n",
		"folded trailer":             "2\r\nok\r\n0\r\nX: a\r\n b\r\n\r\n",
		"trailer with a length":      "2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
		"trailer that is cut":        "2\r\nok\r\n0\r\nX: a\r\n",
		"long trailers":              "2\r\nok\r\n0\r\n" + strings.Repeat("X: a\r\n", 10_000) + "\r\n",
		"no last chunk":              "2\r\nok\r\n",
		"no end after last chunk":    "2\r\nok\r\n0\r\n",
		"bare line feed at the end":  "2\r\nok\r\n0\r\n\n",
	} {
		cases[name] = chunked + body
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			response, body, err := exchangeRaw(t, http.MethodGet, text)
			if err == nil {
				t.Fatalf("taken for a response: %d %v with the body %q", response.StatusCode, response.Header, body)
			}
			if response == nil {
				require.ErrorIs(t, err, ErrBroken)
			}
		})
	}
}

// Guards against refusing responses that keep to the grammar, and against a body other than the target's.
func TestHeadsThatAreResponses(t *testing.T) {
	long := strings.Repeat("x", 40<<10) // Longer than the read buffer.
	for name, c := range map[string]struct {
		text, body string
		header     map[string]string
	}{
		"length":        {text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok", header: map[string]string{"Content-Length": "2"}},
		"no reason":     {text: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"status 599":    {text: "HTTP/1.1 599 \r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"close":         {text: "HTTP/1.1 200 OK\r\n\r\nok", body: "ok"},
		"version 1.0":   {text: "HTTP/1.0 200 OK\r\n\r\nok", body: "ok"},
		"chunks":        {text: "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n1\r\no\r\n01\r\nk\r\n0\r\n\r\n", body: "ok"},
		"extension":     {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 ;a=\"b c\"\r\nok\r\n0;d\r\n\r\n", body: "ok"},
		"long field":    {text: "HTTP/1.1 200 OK\r\nX: " + long + "\r\nContent-Length: 2\r\n\r\nok", body: "ok", header: map[string]string{"X": long}},
		"blanks":        {text: "HTTP/1.1 200 OK\r\nx-odd: \t a b \t\r\nContent-Length:2\r\n\r\nok", body: "ok", header: map[string]string{"X-Odd": "a b"}},
		"text":          {text: "HTTP/1.1 200 \xc3\xa9\r\nX: \xc3\xa9\r\nContent-Length:2\r\n\r\nok", body: "ok", header: map[string]string{"X": "\xc3\xa9"}},
		"interim":       {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"204":           {text: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
		"304":           {text: "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"},
		"empty body":    {text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"empty value":   {text: "HTTP/1.1 200 OK\r\nX:\r\nContent-Length: 0\r\n\r\n", header: map[string]string{"X": ""}},
		"several chunk": {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na000\r\n" + long + "\r\n0\r\n\r\n", body: long},
	} {
		t.Run(name, func(t *testing.T) {
			response, body, err := exchangeRaw(t, http.MethodGet, c.text)
			require.NoError(t, err)
			require.Equal(t, c.body, body)
			for field, value := range c.header {
				require.Equal(t, []string{value}, response.Header[field])
			}
		})
	}
	response, body, err := exchangeRaw(t, http.MethodGet, "HTTP/1.1 200 OK\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Equal(t, http.Header{"X": {"y"}}, response.Trailer)
	response, body, err = exchangeRaw(t, http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
	require.NoError(t, err)
	require.Empty(t, body)
	require.EqualValues(t, 5, response.ContentLength)
}

// Guards against responses that this reader and the one of net/http, which callers use, take apart differently.
func TestReaderAgreesWithNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{
			"Content-Length: 2", "Content-Length: 02", "Transfer-Encoding: chunked", "Connection: close", "Connection: x, Close", "X: y", "x: z",
			"Keep-Alive: timeout=5", "Connection: keep-alive",
		})
		text := rapid.SampledFrom([]string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 204 No", "HTTP/1.1 304 No", "HTTP/1.1 404"}).Draw(t, "status") +
			"\r\n" + strings.Join(rapid.SliceOfN(line, 0, 4).Draw(t, "fields"), "\r\n") + "\r\n"
		text = strings.Replace(text+"\r\n", "\r\n\r\n\r\n", "\r\n\r\n", 1) + rapid.SampledFrom([]string{
			"", "ok", "2\r\nok\r\n0\r\n\r\n", "1\r\no\r\n1\r\nk\r\n0\r\nX: y\r\n\r\n", "2\r\nok\r\n0\r\n",
		}).Draw(t, "body")
		method := rapid.SampledFrom([]string{http.MethodGet, http.MethodHead, http.MethodPost}).Draw(t, "method")
		got, err := readResponse(bufio.NewReader(strings.NewReader(text)), method)
		if err != nil {
			return // This reader refuses more.
		}
		want, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
		require.NoError(t, err, text)
		require.Equal(t, want.StatusCode, got.StatusCode)
		require.Equal(t, want.Close, got.Close, text)
		if BodyAllowed(http.MethodGet, got.StatusCode) { // net/http gives responses to HEAD without a body no length.
			require.Equal(t, want.ContentLength, got.ContentLength, text)
			require.Equal(t, endsWithConn(want), endsWithConn(got), text)
		}
		wantBody, wantErr := io.ReadAll(want.Body)
		gotBody, gotErr := io.ReadAll(got.Body)
		require.Equal(t, wantErr == nil, gotErr == nil, text)
		if gotErr == nil {
			require.Equal(t, string(wantBody), string(gotBody), text)
			require.Equal(t, want.Trailer.Get("X"), got.Trailer.Get("X"))
		}
	})
}

// Pattern: a target answers a long upload early, with a length or in chunks, and resets the connection. Guards against
// taking the part that has arrived for the whole body.
func TestResetUnderTheWriterCutsFramedBodies(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 2000", "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0",
		"chunk without a last one": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e6\r\n", // The empty line of unframedPeer is part of the chunk.
	} {
		for _, length := range []int64{longUpload, -1} {
			t.Run(name, func(t *testing.T) {
				if name == "chunks" {
					head = strings.TrimSuffix(head, "\r\n")
				}
				conn, response := sendUpload(t, unframedPeer(t, head, func(c *net.TCPConn) {
					time.Sleep(20 * time.Millisecond) // The head arrives before the reset.
					_ = c.SetLinger(0)
					_ = c.Close()
				}), length)
				defer conn.Close()
				body, err := io.ReadAll(response.Body)
				require.Error(t, err, "%d bytes of a body that was reset were taken for the whole", len(body))
			})
		}
	}
}

// Pattern: a caller gives up a body of which nothing is left to read from the socket at that moment. Guards against a
// connection that is used again while the rest of a response is on its way.
func TestUnreadBodyEndsTheConnection(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\noksilent", "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\noksilent",
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(PoolConfig{Address: listen(t, text)})
			defer pool.Close()
			conn, err := pool.Get(t.Context(), ConnAny)
			require.NoError(t, err)
			response, err := conn.RoundTrip(t.Context(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
			require.NoError(t, err)
			_, err = io.ReadFull(response.Body, make([]byte, 2))
			require.NoError(t, err)
			conn.Release()
			require.Zero(t, pool.Idle())
		})
	}
}

func BenchmarkReadResponse(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nAuburnwinch-Load: 3/11\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"Date: Mon, 07 Dec 2026 02:00:00 GMT\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nAuburnwinch-Length: 5\r\n\r\n"
	readers := map[string]func(*bufio.Reader) (*http.Response, error){
		"strict": func(r *bufio.Reader) (*http.Response, error) { return readResponse(r, http.MethodGet) },
		"net-http": func(r *bufio.Reader) (*http.Response, error) {
			return http.ReadResponse(r, &http.Request{Method: http.MethodGet})
		},
	}
	for name, read := range readers {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			source := strings.NewReader(text)
			buffered := bufio.NewReaderSize(source, bufferBytes)
			for b.Loop() {
				source.Reset(text)
				buffered.Reset(source)
				response, err := read(buffered)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
