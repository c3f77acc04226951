package wire_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/flood"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// endlessCase is a target that sends Start and then Repeat until its connection
// is closed.
type endlessCase struct {
	Start  string `json:"start"`
	Repeat string `json:"repeat"`
	Kind   string `json:"kind"`  // Kind of the error of the call or of reading the body.
	InBody bool   `json:"body"`  // The call returns a response, whose body can't be read.
	Bytes  int    `json:"bytes"` // Maximum number of bytes that the target can send.
}

const (
	// endlessTime bounds the time of a call to an endless target.
	endlessTime = 20 * time.Second
	// endlessBodyLimit bounds the body that the test reads.
	endlessBodyLimit = 64 << 10
)

func TestEndlessResponses(t *testing.T) {
	script.Run(t, "testdata/endless/*.json", func(t *testing.T, data map[string]endlessCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testEndless(t, c) })
		}
	})
}

func testEndless(t *testing.T, c endlessCase) {
	target := newEndlessTarget(t, c)
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	r, err := client.Do(ctx, wire.Call{
		Address: target.listener.Addr().String(), Method: "POST", URI: "/", Headers: wire.Headers{{Name: "Host", Value: "h"}},
		Correlation: wire.Header{Name: "Id", Value: "mine"},
	})
	if diff := cmp.Diff(c.InBody, err == nil); diff != "" {
		t.Errorf("response, error %v (-want +got):\n%s", err, diff)
	}
	if err == nil {
		body := wire.Body{Limit: endlessBodyLimit}
		err = body.ReadAll(r.Body)
		r.Close()
	}
	if ctx.Err() != nil {
		t.Error("the call did not end by itself")
	}
	if diff := cmp.Diff(c.Kind, fault.From(err).Kind.String()); diff != "" {
		t.Errorf("kind of %v (-want +got):\n%s", err, diff)
	}
	if diff := cmp.Diff(fault.MayHaveRun, fault.VerdictOf(err)); diff != "" || strings.Contains(err.Error(), fault.NotRun.String()) {
		t.Errorf("verdict of %v (-want +got):\n%s", err, diff)
	}
	if sent := target.close(); sent > c.Bytes {
		t.Errorf("the target sent %d bytes, want at most %d", sent, c.Bytes)
	}
}

// endlessTarget serves one connection.
type endlessTarget struct {
	spec     endlessCase
	listener net.Listener
	done     chan int // Receives the number of bytes sent.
}

func newEndlessTarget(t *testing.T, c endlessCase) *endlessTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessTarget{spec: c, listener: listener, done: make(chan int, 1)}
	go e.run()
	return e
}

// close waits for the end of the connection and returns the number of bytes sent.
func (e *endlessTarget) close() int {
	_ = e.listener.Close() // Accept returns in either case.
	return <-e.done
}

func (e *endlessTarget) run() {
	conn, err := e.listener.Accept()
	if err != nil {
		e.done <- 0
		return
	}
	defer func() { _ = conn.Close() }() // The client has closed it.
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		e.done <- 0
		return
	}
	_ = conn.SetWriteDeadline(time.Now().Add(2 * endlessTime)) // A failure shows as an endless test.
	sent, err := flood.Send(conn, e.spec.Start, e.spec.Repeat)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		sent = 1 << 40 // The client has neither read nor closed.
	}
	e.done <- sent
}
