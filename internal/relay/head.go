package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/syntax"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxTrailerBytes limits the trailer section of a chunked body.
	maxTrailerBytes = bufferBytes
	// maxExpectedFields limits the header fields for which memory is allocated together.
	maxExpectedFields = 32
	// minStatusLine is the length of a status line without a reason.
	minStatusLine = len("HTTP/1.1 200")
)

// commonNames holds the names that are read without an allocation.
var commonNames = func() map[string]string {
	names := make(map[string]string)
	add := func(name string) { names[name], names[strings.ToLower(name)] = name, name }
	for name := range internalHeaders {
		add(name)
	}
	for _, name := range []string{
		"Connection", "Content-Encoding", "Content-Length", "Content-Type", "Date", "Keep-Alive", "Retry-After", "Server", "Trailer",
		"Transfer-Encoding", model.HeaderIdempotencyKey,
	} {
		add(name)
	}
	return names
}()

// readResponse reads one head, interim or final; the body of the response reads the rest. Unlike net/http it refuses all
// that a server may not send, because a head with an odd line may come from a peer that has lost its place in the stream.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	line, err := readLine(r, maxHeaderBytes)
	if err != nil {
		return nil, err
	}
	response, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	if response.Header, err = readFields(r, maxHeaderBytes); err != nil {
		return nil, err
	}
	if err := setBody(response, r, method); err != nil {
		return nil, err
	}
	return response, nil
}

// parseStatusLine returns a response with the version and the status of the line.
func parseStatusLine(line []byte) (*http.Response, error) {
	if len(line) < minStatusLine || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[7] != '0' && line[7] != '1' || line[8] != ' ' {
		return nil, eris.Wrapf(syntax.ErrGrammar, "status line %.40q", line)
	}
	status := 0
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return nil, eris.Wrapf(syntax.ErrGrammar, "status line %.40q", line)
		}
		status = status*10 + int(c-'0')
	}
	if status < syntax.MinStatus || status > syntax.MaxStatus || len(line) > minStatusLine && line[minStatusLine] != ' ' || !syntax.IsValue(line[minStatusLine:]) {
		return nil, eris.Wrapf(syntax.ErrGrammar, "status line %.40q", line)
	}
	response := &http.Response{Status: string(line[9:]), StatusCode: status, ProtoMajor: 1, ProtoMinor: int(line[7] - '0'), Proto: "HTTP/1.1"}
	if response.ProtoMinor == 0 {
		response.Proto = "HTTP/1.0"
	}
	return response, nil
}

// readFields reads header or trailer fields and the empty line that ends them.
func readFields(r *bufio.Reader, limit int) (http.Header, error) {
	expected := expectedFields(r)
	header, values := make(http.Header, expected), make([]string, expected)
	for {
		line, err := readLine(r, limit)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return header, nil
		}
		if limit -= len(line); limit <= 0 {
			return nil, eris.Wrap(syntax.ErrGrammar, "too many fields")
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		if earlier, found := header[name]; found || len(values) == 0 {
			header[name] = append(earlier, value)
			continue
		}
		values[0] = value
		header[name], values = values[:1:1], values[1:]
	}
}

// expectedFields returns the number of fields that have arrived, within bounds.
func expectedFields(r *bufio.Reader) int {
	next, _ := r.Peek(r.Buffered()) // It never fails for bytes that are buffered.
	if end := bytes.Index(next, []byte("\r\n\r\n")); end >= 0 {
		next = next[:end+1]
	}
	return min(bytes.Count(next, []byte("\n"))+1, maxExpectedFields)
}

func parseField(line []byte) (name, value string, err error) {
	colon := bytes.IndexByte(line, ':')
	if colon < 0 || !syntax.IsName(line[:colon]) {
		return "", "", eris.Wrapf(syntax.ErrGrammar, "field line %.40q", line)
	}
	text := bytes.Trim(line[colon+1:], " \t")
	if !syntax.IsValue(text) {
		return "", "", eris.Wrapf(syntax.ErrGrammar, "field line %.40q", line)
	}
	name, found := commonNames[string(line[:colon])]
	if !found {
		name = textproto.CanonicalMIMEHeaderKey(string(line[:colon]))
	}
	return name, string(text), nil
}

// readLine returns the next line without its CRLF, which is valid until the next read. It reads little more than the limit.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) <= limit {
			line, err = r.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	switch {
	case errors.Is(err, bufio.ErrBufferFull) || err == nil && len(line) > limit+len("\r\n"):
		return nil, eris.Wrap(syntax.ErrGrammar, "a line is too long")
	case err != nil:
		return nil, unexpected(err)
	case !bytes.HasSuffix(line, []byte("\r\n")):
		return nil, eris.Wrapf(syntax.ErrGrammar, "line %.40q does not end in CRLF", line)
	}
	return line[:len(line)-len("\r\n")], nil
}

// setBody determines where the body ends and whether the connection can be used afterwards.
func setBody(response *http.Response, r *bufio.Reader, method string) error {
	length, err := contentLength(response.Header["Content-Length"])
	if err != nil {
		return err
	}
	codings := response.Header["Transfer-Encoding"]
	chunked := len(codings) > 0
	bodiless := response.StatusCode < http.StatusOK || response.StatusCode == http.StatusNoContent
	switch {
	case chunked && (len(codings) > 1 || !strings.EqualFold(codings[0], "chunked")):
		return eris.Wrapf(syntax.ErrGrammar, "transfer coding %.40q", codings)
	case chunked && (length >= 0 || response.ProtoMinor == 0):
		return eris.Wrap(syntax.ErrGrammar, "a transfer coding with a length or in HTTP/1.0")
	case bodiless && (chunked || length > 0):
		return eris.Wrapf(syntax.ErrGrammar, "a body of a response with the status %d", response.StatusCode)
	}
	delete(response.Header, "Transfer-Encoding")
	if chunked {
		response.TransferEncoding = []string{"chunked"}
	}
	connection := response.Header["Connection"]
	response.Close = connectionOption(connection, "Close") || response.ProtoMinor == 0 && !connectionOption(connection, "Keep-Alive")
	response.ContentLength, response.Body = length, http.NoBody
	switch {
	case bodiless || response.StatusCode == http.StatusNotModified:
		response.ContentLength = 0
	case method == http.MethodHead:
	case chunked:
		response.Body = &chunkedBody{reader: r, response: response}
	case length > 0:
		response.Body = &lengthBody{reader: r, left: length}
	case length < 0:
		response.Close = true
		response.Body = io.NopCloser(r)
	}
	return nil
}

// contentLength returns the length that the header states, or -1 without one.
func contentLength(values []string) (int64, error) {
	switch len(values) {
	case 0:
		return -1, nil
	case 1:
		if n, err := strconv.ParseUint(values[0], 10, 63); err == nil {
			return int64(n), nil
		}
	}
	return 0, eris.Wrapf(syntax.ErrGrammar, "content length %.40q", values)
}
