package wire_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// earlyCase is a target that responds before it has read the request's body.
type earlyCase struct {
	Body   int `json:"body"`   // Bytes of the request's body.
	Status int `json:"status"` // Status of the response; zero means no response.
	// After is what the target does next: "read" the body, "hold" the connection
	// without reading, "shut" down its side for writing, or "close".
	After  string `json:"after"`
	Want   int    `json:"want"` // Received status; zero means an unknown outcome.
	Reused bool   `json:"kept"` // The connection is reused for a second request.
	// Sent is the number of bytes of the body that the target reads; zero means
	// that it is not checked.
	Sent int64 `json:"sent"`
}

func TestEarlyResponse(t *testing.T) {
	script.Run(t, "testdata/early/*.json", func(t *testing.T, data map[string]earlyCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testEarlyResponse(t, c) })
		}
	})
}

func testEarlyResponse(t *testing.T, c earlyCase) {
	target := newEarlyTarget(t, c)
	defer target.close()
	dials := 0
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, OnDial: func() { dials++ }}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	call := wire.Call{
		Address: target.listener.Addr().String(), Method: "POST", URI: "/", Headers: wire.Headers{{Name: "Host", Value: "h"}}, Body: make([]byte, c.Body),
	}
	r, err := client.Do(ctx, call)
	if c.Want == 0 {
		if err == nil || fault.From(err).Verdict != fault.MayHaveRun {
			t.Fatalf("error %v, want one whose request may have run", err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c.Want, r.Status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	body := wire.Body{Limit: 100}
	if err := body.ReadAll(r.Body); err != nil {
		t.Error(err)
	}
	if c.Sent > 0 {
		if diff := cmp.Diff(c.Sent, <-target.read); diff != "" {
			t.Errorf("body bytes read by the target (-want +got):\n%s", diff)
		}
	}
	r.Close()
	if !c.Reused {
		return
	}
	if r, err = client.Do(ctx, call); err != nil {
		t.Fatal(err)
	}
	r.Close()
	if diff := cmp.Diff(1, dials); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// earlyTarget responds to each request after reading its header.
type earlyTarget struct {
	oneConnection
	spec earlyCase
	read chan int64 // Number of bytes read of each body.
}

func newEarlyTarget(t *testing.T, c earlyCase) *earlyTarget {
	t.Helper()
	e := &earlyTarget{oneConnection: newOneConnection(t), spec: c, read: make(chan int64, 2)}
	go e.run()
	return e
}

// oneConnection is the listener of a target that serves one connection.
type oneConnection struct {
	listener net.Listener
	release  chan struct{} // Closed at the end of the test.
	done     chan struct{} // Closed by the target at its end.
}

func newOneConnection(t *testing.T) oneConnection {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return oneConnection{listener: listener, release: make(chan struct{}), done: make(chan struct{})}
}

func (o oneConnection) close() {
	close(o.release)
	_ = o.listener.Close() // Accept returns in either case.
	<-o.done
}

// skipHeader reads the header of a request, and reports whether it has.
func skipHeader(r *bufio.Reader) bool {
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err == nil
		}
	}
}

// run serves one connection.
func (e *earlyTarget) run() {
	defer close(e.done)
	conn, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // The client has its response or expects none.
	r := bufio.NewReader(conn)
	for e.respond(conn, r) {
	}
}

// respond handles one request and reports whether another may follow.
func (e *earlyTarget) respond(conn net.Conn, r *bufio.Reader) bool {
	if !skipHeader(r) {
		return false
	}
	if e.spec.Status > 0 {
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d Early\r\nContent-Length: 2\r\n\r\nok", e.spec.Status); err != nil {
			return false
		}
	}
	switch e.spec.After {
	case "read":
		n, err := io.CopyN(io.Discard, r, int64(e.spec.Body))
		e.read <- n
		return err == nil
	case "hold":
		<-e.release
	case "shut":
		_ = conn.(*net.TCPConn).CloseWrite() // If it fails, the client gets no response.
		<-e.release
	}
	return false
}
