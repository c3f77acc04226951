package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/script"
)

// eventCase is what a target writes and what of it is passed on.
type eventCase struct {
	Stream string `json:"stream"`
	After  int64  `json:"after"` // Identifier of the last event that was passed on.
	Want   string `json:"want"`
	Last   int64  `json:"last"`
	Whole  bool   `json:"whole"`
}

func TestEvents(t *testing.T) {
	script.Run(t, "testdata/events/*.json", testEvents)
}

func testEvents(t *testing.T, v eventCase) {
	for name, source := range map[string]io.Reader{
		"at once": strings.NewReader(v.Stream), "byte by byte": iotest.OneByteReader(strings.NewReader(v.Stream)),
	} {
		got, last, err := readEvents(source, v.After)
		if diff := cmp.Diff(v.Want, got); diff != "" {
			t.Errorf("%s: events (-want +got):\n%s", name, diff)
		}
		if last != v.Last || errors.Is(err, errWholeStream) != v.Whole {
			t.Errorf("%s: last event %d, error %v; want %d, whole %t", name, last, err, v.Last, v.Whole)
		}
	}
}

func readEvents(source io.Reader, last int64) (string, int64, error) {
	r := eventReader{source: source}
	var passed strings.Builder
	for {
		events, err := r.next()
		events, last = afterEvent(events, last)
		passed.Write(events)
		if err != nil {
			return passed.String(), last, err
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n", int64(0))
	f.Add("data: x\r\n\r\n\n\n", int64(3))
	f.Fuzz(func(t *testing.T, text string, last int64) {
		whole, _, _ := readEvents(strings.NewReader(text), last)
		bytewise, _, _ := readEvents(iotest.OneByteReader(strings.NewReader(text)), last)
		if len(whole) > len(text) || len(bytewise) > len(text) {
			t.Fatal("more was passed on than came")
		}
	})
}
