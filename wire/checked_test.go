package wire_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// checkedCase is the response to the second of three calls, whose results are
// checked. Failed and Dials are the outcome of that call and the connections dialed
// for all three.
type checkedCase struct {
	Second string `json:"second"`
	Failed bool   `json:"failed"`
	Dials  int    `json:"dials"`
}

// checkedResult is the result of a call, which repeats the number of the call.
type checkedResult struct {
	Number  int  `json:"number"`
	Unnamed bool `json:"unnamed"` // The result does not name its call.
	want    int
}

func (r *checkedResult) Identified() bool { return !r.Unnamed }

func (r *checkedResult) Check() error {
	if !r.Unnamed && r.Number != r.want {
		return errors.New("the result of another call")
	}
	return nil
}

func TestConnectionIsClosedAfterTheResponseToAnotherCall(t *testing.T) {
	script.Run(t, "testdata/checked/*.json", func(t *testing.T, data map[string]checkedCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testChecked(t, c) })
		}
	})
}

func testChecked(t *testing.T, c checkedCase) {
	bodies := []string{`{"number":1}`, c.Second, `{"number":3}`}
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		_, _ = io.WriteString(w, bodies[calls-1]) // The client reports a failure.
	}))
	defer server.Close()
	dials := 0
	client := &wire.Client{Network: ports.SystemNetwork{}, Clock: ports.SystemClock{}, OnDial: func() { dials++ }}
	defer client.Close()
	for number := 1; number <= 3; number++ {
		call := wire.Call{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, URI: "/"}
		err := client.DoJSON(t.Context(), call, nil, &checkedResult{want: number}, func(*wire.Response) error { return errors.New("status") })
		if diff := cmp.Diff(c.Failed && number == 2, err != nil); diff != "" {
			t.Errorf("call %d failed (-want +got):\n%s", number, diff)
		}
	}
	if diff := cmp.Diff(c.Dials, dials); diff != "" {
		t.Errorf("dials (-want +got):\n%s", diff)
	}
}
