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

// homes is what the homes of a request answer, in the order in which they are
// asked, and what the caller gets.
type homes struct {
	// Lost are errors of the connection, nil if the home has answered.
	Lost    []*fault.Error `json:"lost"`
	Answers []*fault.Error `json:"answers"`
	Result  seen           `json:"result"`
}

func TestHomes(t *testing.T) {
	script.Run(t, "testdata/homes/*.json", func(t *testing.T, data *homes) {
		s := newService(&scenario{}, nil)
		s.Peers = data
		ready := member.Attributes{Ready: true}
		view := member.NewView(
			member.VM{ID: "a"}, // Not ready, so it is no home.
			member.VM{ID: "b", Attributes: ready},
			member.VM{ID: "c", Attributes: ready},
			member.VM{ID: "d", Attributes: ready},
		)
		s.View = func() member.View { return view }
		_, err := s.Serve(context.Background(), Request{Deadline: time.Now().Add(time.Minute)}, nil)
		fe := fault.From(err)
		got := seen{Kind: fe.Kind.String(), Verdict: fe.Verdict.String()}
		if diff := cmp.Diff(data.Result, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Stream answers for the next home.
func (h *homes) Stream(_ context.Context, _, _ string, _, result any, _ func(json.RawMessage)) error {
	lost, answer := h.Lost[0], h.Answers[0]
	h.Lost, h.Answers = h.Lost[1:], h.Answers[1:]
	if lost != nil {
		return lost
	}
	result.(*serveAnswer).Fault = answer
	return nil
}
