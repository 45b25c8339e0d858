package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// cutTime is how long clients upload, and cutClients how many of them.
	cutTime    = 40 * time.Second
	cutClients = 8
	// planBytes is the length of an upload, far below maxBodyBytes, and replyBytes that of its answer.
	planBytes  = 4 << 20
	replyBytes = 200_000
	// cutShare is the share of its answers that an instance breaks off; our pages say 0.02 at half of the instances.
	cutShare = 0.02
	// resetAfter bounds the time after the first half of its answer at which the instance resets the connection.
	resetAfter = 2 * time.Millisecond
)

// uploadServer answers uploads in place of an instance.
type uploadServer struct {
	instance *instance
	trouble  bool
	cut      *atomic.Int64
}

// playCutReply lets clients upload large plans. One of the two instances sometimes answers before it has read the whole
// body, without a length, and breaks off that answer. The rule is broken if such an answer looks complete to the client.
func playCutReply(f *fleet, trouble bool) (broken int, err error) {
	for _, service := range []string{"plans", "plans", "front"} {
		if _, err := f.add("norte-a", service); err != nil {
			return 0, err
		}
	}
	f.configure(1, map[string]string{"plans": "plans", "front": "front"})
	if err := f.awaitReady("plans", "front"); err != nil {
		return 0, err
	}
	var cut, mixed, whole, failed atomic.Int64
	for i, m := range f.machines[:2] {
		_ = m.instance.server.Close()
		listener, err := net.Listen("tcp", m.ip+":8301")
		if err != nil {
			return 0, err
		}
		go uploadServer{instance: m.instance, trouble: trouble && i == 0, cut: &cut}.serve(listener)
	}
	var group sync.WaitGroup
	end := time.Now().Add(cutTime)
	for client := range cutClients {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("plan-%d-%d", client, i)
				status, length, err := f.machines[2].uploadPlan(id)
				switch {
				case err != nil || status != http.StatusOK:
					failed.Add(1)
					f.record.printf("answer %s: %d, %d bytes, %v", id, status, length, err)
				case length != replyBytes:
					mixed.Add(1)
					f.record.printf("MIXED: %s got 200 and a body that looks complete, %d of the instance's %d bytes", id, length, replyBytes)
				default:
					whole.Add(1)
				}
			}
		})
	}
	group.Wait()
	f.record.printf("%d whole answers, %d answers broken off by the instance, %d failures, %d answers in part that look complete",
		whole.Load(), cut.Load(), failed.Load(), mixed.Load())
	return int(mixed.Load()), nil
}

func (s uploadServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			for reader := bufio.NewReader(conn); s.answer(conn, reader); {
			}
		}()
	}
}

// answer serves one request and reports whether the connection goes on.
func (s uploadServer) answer(conn net.Conn, reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	id := r.Header.Get("Auburnwinch-Request-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: %s\r\nAuburnwinch-Server-Seal: %x.%s\r\nAuburnwinch-Server-Load: 1,0,7\r\n",
		id, replyBytes, s.instance.id)
	if s.trouble && rand.Float64() < cutShare {
		_, _ = io.CopyN(io.Discard, r.Body, planBytes/8)
		s.cut.Add(1)
		s.instance.machine.fleet.record.printf("cut    %s at %s: answers early, without a length, and breaks off after half of its answer", id, s.instance.id)
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+strings.Repeat("x", replyBytes/2))
		time.Sleep(time.Duration(rand.Int64N(int64(resetAfter))))
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // The connection is reset, as it is for any process that closes it with unread bytes.
		}
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	_, err = io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(replyBytes)+"\r\n\r\n"+strings.Repeat("x", replyBytes))
	return err == nil
}

// uploadPlan sends a large body and returns the status and the length of an answer that looks complete.
func (m *machine) uploadPlan(id string) (status, length int, err error) {
	conn, err := net.DialTimeout("tcp", m.ip+":8304", time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(conn, head("POST", "plans", "/read/"+id, id, fmt.Sprintf("Content-Length: %d\r\n\r\n", planBytes)))
		_, _ = conn.Write(make([]byte, planBytes)) // The node may answer before it has the whole body.
	}()
	a := readAnswer(conn, "POST")
	_ = conn.Close()
	<-sent
	return a.status, len(a.body), a.err
}
