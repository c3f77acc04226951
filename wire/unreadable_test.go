package wire_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// unreadableCase is a target that reads the header of a request, writes what is no
// complete response and then holds, closes or resets the connection.
type unreadableCase struct {
	Write string `json:"write"`
	Then  string `json:"then"`  // hold, close or reset.
	Body  int    `json:"body"`  // Bytes of the request's body, of which the target reads none.
	Count int    `json:"count"` // Number of calls, for an outcome that depends on the order of events; zero means one.
	// Whole means that the response is complete, and read as such.
	Whole bool `json:"whole"`
}

// unreadableTime bounds a call to a target whose response can't be read.
const unreadableTime = 10 * time.Second

// TestUnreadableResponses guards against responses that are taken for complete though they
// are not, calls that wait for the rest of one that can't be read, and errors that say of
// a request which was sent that it has not run.
func TestUnreadableResponses(t *testing.T) {
	script.Run(t, "testdata/unreadable/*.json", func(t *testing.T, data map[string]unreadableCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) {
				for range max(1, c.Count) {
					testUnreadable(t, c)
				}
			})
		}
	})
}

func testUnreadable(t *testing.T, c unreadableCase) {
	target := newUnreadableTarget(t, c)
	defer target.close()
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), unreadableTime)
	defer cancel()
	r, err := client.Do(ctx, wire.Call{
		Address: target.listener.Addr().String(), Method: "POST", URI: "/", Headers: wire.Headers{{Name: "Host", Value: "h"}},
		Body: make([]byte, c.Body),
	})
	if err == nil {
		body := wire.Body{Limit: 1 << 10}
		err = body.ReadAll(r.Body)
		body.Release()
		r.Close()
	}
	if ctx.Err() != nil {
		t.Error("the call did not end by itself")
	}
	if diff := cmp.Diff(c.Whole, err == nil); diff != "" {
		t.Fatalf("complete, error %v (-want +got):\n%s", err, diff)
	}
	if err == nil {
		return
	}
	if diff := cmp.Diff(fault.MayHaveRun, fault.VerdictOf(err)); diff != "" || strings.Contains(err.Error(), fault.NotRun.String()) {
		t.Errorf("verdict of %v (-want +got):\n%s", err, diff)
	}
}

// unreadableTarget serves one connection.
type unreadableTarget struct {
	oneConnection
	spec unreadableCase
}

func newUnreadableTarget(t *testing.T, c unreadableCase) *unreadableTarget {
	t.Helper()
	u := &unreadableTarget{oneConnection: newOneConnection(t), spec: c}
	go u.run()
	return u
}

func (u *unreadableTarget) run() {
	defer close(u.done)
	conn, err := u.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // The client has its outcome.
	r := bufio.NewReader(conn)
	if !skipHeader(r) {
		return
	}
	if _, err := io.WriteString(conn, u.spec.Write); err != nil {
		return
	}
	switch u.spec.Then {
	case "hold":
		<-u.release
	case "reset":
		time.Sleep(time.Millisecond)         // The client reads what was sent and fills the buffers.
		_ = conn.(*net.TCPConn).SetLinger(0) // Close then resets the connection.
	case "read":
		_, _ = io.CopyN(io.Discard, r, int64(u.spec.Body)) // The client sees a body that is not read.
	}
}
