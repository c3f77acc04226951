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

// earlyCase is a target that answers before it has read the body of a request.
type earlyCase struct {
	Body   int `json:"body"`   // Bytes of the request's body.
	Status int `json:"status"` // Status of the answer; zero means none.
	// After is what the target does next: it may "read" the rest, "hold" the
	// connection without reading, "shut" its side, or "close".
	After string `json:"after"`
	Want  int    `json:"want"` // Status that arrives; zero means an open outcome.
	Kept  bool   `json:"kept"` // The connection serves a second request.
	// Sent is the number of bytes of the body that arrive in the end.
	Sent int64 `json:"sent"`
}

func TestEarlyAnswer(t *testing.T) {
	script.Run(t, "testdata/early/*.json", func(t *testing.T, data map[string]earlyCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testEarlyAnswer(t, c) })
		}
	})
}

func testEarlyAnswer(t *testing.T, c earlyCase) {
	target := newEarlyTarget(t, c)
	defer target.close()
	dialed := 0
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, OnDial: func() { dialed++ }}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	call := wire.Call{
		Address: target.listener.Addr().String(), Method: "POST", URI: "/", Headers: wire.Headers{{Name: "Host", Value: "h"}}, Body: make([]byte, c.Body),
	}
	a, err := client.Do(ctx, call)
	if c.Want == 0 {
		if err == nil || fault.From(err).Verdict != fault.MayHaveRun {
			t.Fatalf("want an open outcome, got %v", err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(c.Want, a.Status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	if _, err := a.ReadAll(100); err != nil {
		t.Error(err)
	}
	if c.Sent > 0 {
		if diff := cmp.Diff(c.Sent, <-target.read); diff != "" {
			t.Errorf("bytes of the body (-want +got):\n%s", diff)
		}
	}
	a.Close()
	if !c.Kept {
		return
	}
	if a, err = client.Do(ctx, call); err != nil {
		t.Fatal(err)
	}
	a.Close()
	if diff := cmp.Diff(1, dialed); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// earlyTarget answers each request once it has read its head.
type earlyTarget struct {
	spec     earlyCase
	listener net.Listener
	release  chan struct{} // Closed at the end of the test.
	done     chan struct{}
	read     chan int64 // Bytes of the first body.
}

func newEarlyTarget(t *testing.T, c earlyCase) *earlyTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &earlyTarget{spec: c, listener: listener, release: make(chan struct{}), done: make(chan struct{}), read: make(chan int64, 2)}
	go e.run()
	return e
}

func (e *earlyTarget) close() {
	close(e.release)
	_ = e.listener.Close() // Nothing waits for it.
	<-e.done
}

// run serves one connection.
func (e *earlyTarget) run() {
	defer close(e.done)
	conn, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // The client has what it needs.
	r := bufio.NewReader(conn)
	for e.answer(conn, r) {
	}
}

// answer treats one request and reports whether another may follow.
func (e *earlyTarget) answer(conn net.Conn, r *bufio.Reader) bool {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			break
		}
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
		_ = conn.(*net.TCPConn).CloseWrite() // The client sees a missing answer otherwise.
		<-e.release
	}
	return false
}
