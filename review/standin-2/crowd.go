package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize clients send a head of the legal size with crowdFields fields, but not its end, and stay until the node closes the
	// connection; then they come again.
	crowdSize   = 300
	crowdFields = 3200
	crowdStay   = 10 * time.Second
	crowdPause  = 100 * time.Millisecond
	headBytes   = 16 << 10
	// readers read readerBytes at readerPace, in bytes a second.
	readers      = 6
	readerRounds = 8
	readerBytes  = 6_000_000
	readerPace   = 1_000_000
	readerStep   = 20 * time.Millisecond
	readerTime   = 20 * time.Second
	// readerFew is how many requests LOST allows.
	readerFew = 3
)

// reader is an ordinary client that keeps its connection.
type reader struct {
	machine *machine
	name    string
	conn    net.Conn
	buffer  *bufio.Reader
}

// runCrowd lets a crowd send heads that don't end while ordinary clients download. LOST is broken if the node, which has passed their
// requests on to a sound instance, closes the connections of more than three of them without the answer.
func runCrowd(f *fleet, trouble bool) (int, error) {
	m, err := f.add("norte-a", "alpha")
	if err != nil {
		return exitNotRun, err
	}
	f.configure(1, []string{"alpha"}, []route{{"plans", "shop.example", "/plans/", "download", "alpha", int(readerTime.Milliseconds()), 2}})
	if !f.awaitReady() {
		return exitNotRun, fmt.Errorf("the node did not become ready")
	}
	time.Sleep(5 * time.Second) // The machine is in touch.
	clients := make([]*reader, readers)
	for k := range clients {
		clients[k] = &reader{machine: m, name: fmt.Sprintf("plan-%d", k)}
		if status, _, err := clients[k].download(clients[k].name, 2); err != nil || status != http.StatusOK {
			return exitNotRun, fmt.Errorf("a download in calm got %d: %w", status, err)
		}
	}
	f.record.printf("%d clients have had a first answer and keep their connections", readers)
	stopped := make(chan struct{})
	var crowd sync.WaitGroup
	var opened atomic.Int64
	if trouble {
		f.record.printf("%d clients come that send heads without an end", crowdSize)
		for range crowdSize {
			crowd.Go(func() {
				for {
					select {
					case <-stopped:
						return
					default:
						opened.Add(1)
						sendHalfHead(m, stopped)
						time.Sleep(crowdPause)
					}
				}
			})
		}
	}
	var group sync.WaitGroup
	var broken, whole, refused atomic.Int64
	for _, c := range clients {
		group.Go(func() {
			for n := range readerRounds {
				id := fmt.Sprintf("%s-%d", c.name, n)
				f.record.printf("client at %s sends %s", m.name, id)
				status, got, err := c.download(id, readerBytes)
				f.record.printf("client at %s got status %d and %d bytes for %s", m.name, status, got, id)
				ran := len(m.instance.ran(id))
				switch {
				case err == nil && status == http.StatusOK:
					whole.Add(1)
				case err != nil && ran > 0:
					broken.Add(1)
					f.record.printf("BROKEN: the connection of %s, which an instance ran, ended with %d of %d bytes of the answer: %v", id, got, readerBytes, errors.Unwrap(err))
				default:
					time.Sleep(time.Second)
					refused.Add(1)
					f.record.printf("%s was not run: status %d, connection closed %t", id, status, err != nil)
				}
			}
		})
	}
	group.Wait()
	close(stopped)
	crowd.Wait()
	f.record.printf("%d connections of the crowd; of %d downloads %d got the whole answer, %d were not run, %d lost it", opened.Load(), readers*readerRounds,
		whole.Load(), refused.Load(), broken.Load())
	if broken.Load() > readerFew {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// sendHalfHead sends a head but for its end, and waits until the node closes the connection.
func sendHalfHead(m *machine, stopped chan struct{}) {
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var b strings.Builder
	b.WriteString("GET /nowhere/x HTTP/1.1\r\nHost: other.example\r\n")
	for i := range crowdFields {
		_, _ = fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676)
	}
	_ = conn.SetDeadline(time.Now().Add(crowdStay))
	_, _ = io.WriteString(conn, b.String()[:headBytes]) // The node may have closed the connection.
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	}()
	select {
	case <-ended:
	case <-stopped:
	}
}

// download sends a request on the kept connection, or on a new one after that has ended, and reads the answer at an even pace.
func (c *reader) download(id string, size int) (status, got int, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.machine.address(portOutbound), time.Second); err != nil {
			return 0, 0, err
		}
		c.buffer = bufio.NewReader(c.conn)
	}
	defer func() {
		if err != nil {
			_ = c.conn.Close()
			c.conn = nil
		}
	}()
	_, err = fmt.Fprintf(c.conn, "GET /plans/%s?bytes=%d HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n\r\n", id, size, headerID, id, headerLimit,
		readerTime.Milliseconds())
	if err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(c.buffer, nil)
	if err != nil {
		return 0, 0, err
	}
	piece := make([]byte, readerPace*int(readerStep)/int(time.Second))
	begin := time.Now()
	for k := 1; ; k++ {
		n, err := io.ReadFull(response.Body, piece)
		got += n
		if int64(got) == response.ContentLength {
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode, got, nil
		}
		if err != nil {
			return response.StatusCode, got, err
		}
		time.Sleep(time.Until(begin.Add(time.Duration(k) * readerStep)))
	}
}
