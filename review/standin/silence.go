package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowInstances of orderInstances are slow, a share of 0.14; our pages say 0.15.
	slowInstances, orderInstances = 1, 7
	// slowFactor is how many times as long a slow instance works, and pieceTime the usual time of each half of an answer.
	slowFactor    = 4
	pieceTime     = 600 * time.Millisecond
	silenceRounds = 4
	silenceOrders = 28
	pieceBytes    = 2000
	stopAfter     = 300 * time.Millisecond
	// headTime is how long an instance works before the first half.
	headTime = 100 * time.Millisecond
)

// pieceServer answers in two halves, in place of an instance.
type pieceServer struct {
	instance *instance
	pieces   time.Duration
}

// playSilence stops the node that has taken orders from clients with SIGTERM, as planned work, while an instance turns slow
// and is silent in the middle of its answers. It counts the orders that reached the instance and whose clients don't get
// its answer.
func playSilence(f *fleet, trouble bool) (broken int, err error) {
	for range orderInstances {
		if _, err := f.add("norte-a", "orders"); err != nil {
			return 0, err
		}
	}
	front, err := f.add("norte-a", "front")
	if err != nil {
		return 0, err
	}
	f.configure(1, map[string]string{"orders": "orders", "front": "front"})
	if err := f.awaitReady("orders", "front"); err != nil {
		return 0, err
	}
	for i, m := range f.machines[:orderInstances] {
		_ = m.instance.server.Close()
		listener, err := net.Listen("tcp", m.ip+":8301")
		if err != nil {
			return 0, err
		}
		pieces := pieceTime
		if trouble && i < slowInstances {
			pieces *= slowFactor
		}
		go pieceServer{instance: m.instance, pieces: pieces}.serve(listener)
	}
	for round := range silenceRounds {
		if err := f.awaitReady(); err != nil {
			return 0, err
		}
		time.Sleep(2 * stableBound)
		answers := make([]answer, silenceOrders)
		var group sync.WaitGroup
		for i := range answers {
			id := fmt.Sprintf("order-%d-%d", round, i)
			f.record.printf("send   %s: POST /order/%s through %s", id, id, front.name)
			group.Go(func() {
				answers[i] = front.send("POST", "orders", "/order/"+id, id, "Content-Length: 0\r\n")
				f.record.printf("answer %s: %d, %d bytes, %v", id, answers[i].status, len(answers[i].body), answers[i].err)
			})
		}
		time.Sleep(stopAfter)
		stopped := time.Now()
		front.signal(syscall.SIGTERM)
		group.Wait()
		for i, a := range answers {
			id := fmt.Sprintf("order-%d-%d", round, i)
			for _, r := range f.runsOf(id) {
				if r.at.Before(stopped) && (a.err != nil || a.status != http.StatusOK || len(a.body) != 2*pieceBytes) {
					broken++
					f.record.printf("LOST: %s was passed on to %s before the SIGTERM, and its client got %d, %v", id, r.instance, a.status, a.err)
				}
			}
		}
		<-front.exited
		f.record.printf("the node of %s has ended %.1f s after the SIGTERM", front.name, time.Since(stopped).Seconds())
		time.Sleep(restartPause)
		if err := front.start(); err != nil {
			return 0, err
		}
	}
	return broken, nil
}

func (s pieceServer) serve(listener net.Listener) {
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
func (s pieceServer) answer(conn net.Conn, reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Auburnwinch-Request-Id")
	f := s.instance.machine.fleet
	f.addRun(run{at: time.Now(), id: id, instance: s.instance.id, service: s.instance.machine.service, method: r.Method, path: r.URL.RequestURI()})
	piece := strings.Repeat("x", pieceBytes)
	time.Sleep(headTime)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: %s\r\nAuburnwinch-Server-Seal: %x.%s\r\nAuburnwinch-Server-Load: 1,0,7\r\nContent-Length: %d\r\n\r\n%s",
		id, 2*pieceBytes, s.instance.id, 2*pieceBytes, piece)
	time.Sleep(s.pieces)
	_, err = io.WriteString(conn, piece)
	f.record.printf("done   %s at %s: %v", id, s.instance.id, err)
	return err == nil
}
