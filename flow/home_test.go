package flow

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/script"
)

// homesScenario scripts the responses of the homes of a request, in the order in
// which they are called, and the error that the client gets.
type homesScenario struct {
	// Lost holds the errors of the connections, nil if the home responds.
	Lost      []*fault.Error `json:"lost"`
	Responses []*fault.Error `json:"answers"`
	Result    clientResult   `json:"result"`
}

func TestHomes(t *testing.T) {
	script.Run(t, "testdata/homes/*.json", func(t *testing.T, data *homesScenario) {
		s := newService(&scenario{}, nil)
		s.Peers = data
		ready := member.Attributes{Ready: true}
		view := member.NewView(
			member.VM{ID: "a"}, // Not ready, so it cannot be a home.
			member.VM{ID: "b", Attributes: ready},
			member.VM{ID: "c", Attributes: ready},
			member.VM{ID: "d", Attributes: ready},
		)
		s.View = func() member.View { return view }
		_, err := s.Serve(context.Background(), Request{Deadline: time.Now().Add(time.Minute)}, nil)
		fe := fault.From(err)
		got := clientResult{Kind: fe.Kind.String(), Verdict: fe.Verdict.String()}
		if diff := cmp.Diff(data.Result, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Stream returns the scripted response of the next home.
func (h *homesScenario) Stream(_ context.Context, _, _ string, _, result any, _ func(json.RawMessage)) error {
	lost, response := h.Lost[0], h.Responses[0]
	h.Lost, h.Responses = h.Lost[1:], h.Responses[1:]
	if lost != nil {
		return lost
	}
	result.(*serveResponse).Fault = response
	return nil
}
