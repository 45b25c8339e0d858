package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client saw of an attempt.
type answer struct {
	status int
	body   string
	err    error
}

// get sends an idempotent request through the node of the machine.
func (m *machine) get(host, path, id string) answer {
	return m.send("GET", host, path, id, "")
}

// send sends one request on a new connection and waits for the answer.
func (m *machine) send(method, host, path, id, fields string) answer {
	conn, err := net.DialTimeout("tcp", m.ip+":8304", time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, head(method, host, path, id, fields)+"\r\n"); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, method)
}

func head(method, host, path, id, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s.example\r\nAuburnwinch-Request-Id: %s\r\nAuburnwinch-Deadline-Ms: 4000\r\n%s", method, path, host, id, fields)
}

func readAnswer(conn net.Conn, method string) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), err: err}
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}
