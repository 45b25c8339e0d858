package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// slowBytes is the length of the answer, that of the largest downloads of the sheets.
	slowBytes = 8_000_000
	// slowEnd is when the client has read the answer at its pace, from the SIGTERM on. It lies within graceS.
	slowEnd     = 5700 * time.Millisecond
	slowLead    = 300 * time.Millisecond
	slowStep    = 50 * time.Millisecond
	slowTimeout = 9 * time.Second
	slowClients = 4
	// clientBuffer and clientSegment are those of a client behind an ordinary network rather than the loopback interface.
	clientBuffer  = 8 << 10
	clientSegment = 1460
)

// runSlow stops a node while clients read an answer that its instance has ended long ago. LOST is broken if the connection ends without
// the complete answer, within graceS and before the deadline of the request and the timeout of its route.
func runSlow(f *fleet, trouble bool) (int, error) {
	m, err := f.add("norte-a", "alpha")
	if err != nil {
		return exitNotRun, err
	}
	f.configure(1, []string{"alpha"}, []route{{"plans", "shop.example", "/plans/", "download", "alpha", int(slowTimeout.Milliseconds()), 2}})
	if !f.awaitReady() {
		return exitNotRun, fmt.Errorf("the node did not become ready")
	}
	if !eventually(startTimeout, func() bool {
		return request{machine: m, method: http.MethodGet, host: "shop.example", path: "/plans/0", id: fmt.Sprint("try-", time.Now().UnixNano()), deadline: time.Second}.roundTrip().status == http.StatusOK
	}) {
		return exitNotRun, fmt.Errorf("the instance is not used")
	}
	time.Sleep(4 * time.Second) // The machine is in touch.
	begin := time.Now()
	stop := begin.Add(slowLead)
	results := make(chan error, slowClients)
	for k := range slowClients {
		go func() { results <- f.readSlowly(m, fmt.Sprintf("plan-%d", k), stop.Add(slowEnd)) }()
	}
	time.Sleep(time.Until(stop))
	if trouble {
		f.record.printf("%s gets SIGTERM", m.name)
		m.signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() { m.signal(syscall.SIGKILL) })
		go func() {
			m.wait(2 * grace)
			f.record.printf("the process of %s has ended, %.2f s after the SIGTERM", m.name, time.Since(stop).Seconds())
		}()
	}
	broken := 0
	for range slowClients {
		if err := <-results; err != nil {
			broken++
			f.record.printf("BROKEN: the connection ended without the complete answer, %.2f s after the SIGTERM: %v", time.Since(stop).Seconds(), err)
		}
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// readSlowly sends a request and reads the answer at an even pace until the time.
func (f *fleet) readSlowly(m *machine, id string, end time.Time) error {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			if failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer); failed == nil {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegment)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", m.address(portOutbound))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	sent := time.Now()
	_, err = fmt.Fprintf(conn, "GET /plans/%s?bytes=%d HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n\r\n", id, slowBytes, headerID, id, headerLimit,
		slowTimeout.Milliseconds())
	if err != nil {
		return err
	}
	reader := bufio.NewReaderSize(conn, 1<<10)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	f.record.printf("client at %s sent %s, status %d, length %d", m.name, id, response.StatusCode, response.ContentLength)
	steps := int(time.Until(end) / slowStep)
	read, piece := 0, make([]byte, slowBytes/steps+1)
	for {
		n, err := io.ReadFull(response.Body, piece)
		read += n
		if err != nil && read < slowBytes {
			return fmt.Errorf("%s got %d of %d bytes until %.2f s after it was sent, with a deadline of %v: %w", id, read, slowBytes, time.Since(sent).Seconds(), slowTimeout, err)
		}
		if read == slowBytes {
			f.record.printf("%s has its whole answer", id)
			return nil
		}
		time.Sleep(slowStep)
	}
}
