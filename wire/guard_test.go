package wire_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/ports"
	"bergamotworks/site"
	"bergamotworks/wire"
)

// refusingGuard admits the given number of calls and counts the responses.
type refusingGuard struct {
	admitted int
	observed []int // Status of each response.
}

func (g *refusingGuard) Admit(site.Target) error {
	if g.admitted == 0 {
		return fault.New(fault.Busy, fault.NotRun, "the target leaves")
	}
	g.admitted--
	return nil
}

func (g *refusingGuard) Observe(_ site.Target, status int, _ wire.Headers) {
	g.observed = append(g.observed, status)
}

// TestCallIsNotSentOnceItsTargetIsHeld makes a guard refuse a call after its target was
// chosen and connected to. Calls to anything but a target are not its concern.
func TestCallIsNotSentOnceItsTargetIsHeld(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		_, _ = io.WriteString(w, "{}") // The client reports a failure.
	}))
	defer server.Close()
	guard := &refusingGuard{admitted: 1}
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, Guard: guard}
	defer client.Close()
	var got []string
	for _, id := range []string{"a", "a", ""} {
		call := wire.Call{Address: strings.TrimPrefix(server.URL, "http://"), Target: site.Target{ID: id}, Method: http.MethodPost, URI: "/"}
		err := client.DoJSON(context.Background(), call, nil, &struct{}{}, nil)
		outcome := "ok"
		if err != nil {
			outcome = fault.VerdictOf(err).String()
		}
		got = append(got, outcome)
	}
	if diff := cmp.Diff([]string{"ok", "not_run", "ok"}, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(2), arrived.Load()); diff != "" {
		t.Errorf("calls that arrived (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{http.StatusOK}, guard.observed); diff != "" {
		t.Errorf("observed responses (-want +got):\n%s", diff)
	}
}

// TestRejectionThatIsNotBelievedIsObserved makes the second call on a kept connection,
// whose rejection names no request: it is not taken for the response to the call, but it
// is the word of the target.
func TestRejectionThatIsNotBelievedIsObserved(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 1 {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	guard, dials := &refusingGuard{admitted: 2}, 0
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, Guard: guard, OnDial: func() { dials++ }}
	defer client.Close()
	var got []string
	for _, id := range []string{"a", "b"} {
		call := wire.Call{
			Address: strings.TrimPrefix(server.URL, "http://"), Target: site.Target{ID: "t"}, Method: http.MethodGet, URI: "/",
			Headers: wire.Headers{{Name: "Host", Value: "h"}, {Name: "X-Id", Value: id}}, Correlation: wire.Header{Name: "X-Id", Value: id},
		}
		response, err := client.Do(context.Background(), call)
		if err != nil {
			got = append(got, fault.VerdictOf(err).String())
			continue
		}
		got = append(got, http.StatusText(response.Status))
		response.Close()
	}
	if diff := cmp.Diff([]string{"OK", "may_have_run"}, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusServiceUnavailable}, guard.observed); diff != "" {
		t.Errorf("observed responses (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, dials); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}
