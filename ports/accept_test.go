package ports_test

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/ports"
	"bergamotworks/script"
)

// acceptCase is the results of a listener, one after another, and what its server gets.
type acceptCase struct {
	Results  []string `json:"results"`
	Accepted int      `json:"accepted"` // Connections before the error.
	Lines    int      `json:"lines"`    // Logged.
	DelayMS  int64    `json:"delay_ms"`
}

// TestServersOutlastALackOfDescriptors guards against servers, and with them the
// process, that end when no connection can be accepted for a while.
func TestServersOutlastALackOfDescriptors(t *testing.T) {
	script.Run(t, "testdata/accept/*.json", func(t *testing.T, cases map[string]acceptCase) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testAccept(t, c) })
			})
		}
	})
}

func testAccept(t *testing.T, c acceptCase) {
	var lines strings.Builder
	log := logrus.New()
	log.SetOutput(&lines)
	clock := ports.SystemClock{}
	started := clock.Now()
	l := &ports.RetryListener{Listener: &scriptedListener{results: c.Results}, Clock: clock, Log: logrus.NewEntry(log)}
	got := acceptCase{Results: c.Results}
	for {
		if _, err := l.Accept(); err != nil {
			break
		}
		got.Accepted++
	}
	got.Lines = strings.Count(lines.String(), "\n")
	got.DelayMS = clock.Now().Sub(started).Milliseconds()
	if diff := cmp.Diff(c, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// scriptedListener returns results from a list and then io.EOF.
type scriptedListener struct{ results []string }

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.results) == 0 {
		return nil, io.EOF
	}
	result := l.results[0]
	l.results = l.results[1:]
	switch result {
	case "connection":
		client, server := net.Pipe()
		return server, client.Close()
	case "too_many_files":
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	case "too_many_files_in_system":
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENFILE)}
	case "aborted":
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)}
	case "closed":
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	}
	return nil, errors.New(result)
}

func (l *scriptedListener) Close() error   { return nil }
func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }
