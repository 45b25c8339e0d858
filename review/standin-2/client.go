package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// request is one attempt of a client at the machine.
type request struct {
	machine            *machine
	method, host, path string
	id                 string
	body               []byte
	deadline           time.Duration
	header             map[string]string
}

// answer is what a client gets; status is 0 without an answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends the request on a connection of its own, once.
func (f *fleet) send(q request) answer {
	a := q.roundTrip()
	detail := fmt.Sprint(a.status)
	if a.err != nil {
		detail = a.err.Error()
	}
	f.record.printf("client at %s sent %s %s %s%s: %s %s", q.machine.name, q.id, q.method, q.host, q.path, detail, reasonOf(a))
	return a
}

func (q request) roundTrip() answer {
	r, err := http.NewRequest(q.method, "http://"+q.machine.address(portOutbound)+q.path, bytes.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host, r.GetBody = q.host, nil
	r.Header.Set(headerID, q.id)
	r.Header.Set(headerLimit, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: q.deadline + time.Second}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

// reasonOf returns the body of an answer that bears no seal, which says why the system gave it.
func reasonOf(a answer) string {
	if a.header == nil || a.header.Get(headerSeal) != "" {
		return ""
	}
	return string(a.body)
}
