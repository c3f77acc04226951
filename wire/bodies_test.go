package wire_test

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// bodiesCase is requests on connections of their own, whose bodies share a budget.
type bodiesCase struct {
	Budget   int64         `json:"budget"`
	Limit    int64         `json:"limit"` // Of one body, in bytes.
	Requests []bodyRequest `json:"requests"`
	Used     int64         `json:"used"` // Bytes that the bodies take in the end.
}

type bodyRequest struct {
	Bytes   int    `json:"bytes"`
	Chunked bool   `json:"chunked"`
	Cut     bool   `json:"cut"`     // Half of the body arrives.
	Expect  bool   `json:"expect"`  // The client waits for an interim response.
	Release bool   `json:"release"` // The request ends before the next one.
	Want    string `json:"want"`    // The kind of the error, "read" or "lost".
}

// TestRequestBodiesStayWithinTheBudget guards against clients that together send more
// than the memory of the node.
func TestRequestBodiesStayWithinTheBudget(t *testing.T) {
	script.Run(t, "testdata/bodies/*.json", func(t *testing.T, cases map[string]bodiesCase) {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) { testBodies(t, c) })
		}
	})
}

func testBodies(t *testing.T, c bodiesCase) {
	budget := &wire.BufferBudget{Limit: c.Budget}
	for i, r := range c.Requests {
		if diff := cmp.Diff(r.Want, r.read(t, budget, c.Limit)); diff != "" {
			t.Errorf("request %d (-want +got):\n%s", i, diff)
		}
	}
	if diff := cmp.Diff(c.Used, budget.Used()); diff != "" {
		t.Errorf("bytes in use (-want +got):\n%s", diff)
	}
}

// read reads the request and returns its outcome.
func (r bodyRequest) read(t *testing.T, budget *wire.BufferBudget, limit int64) string {
	continued := false
	reader := wire.Reader{Buffer: bufio.NewReader(strings.NewReader(r.text())), Budget: budget, Continue: func() error {
		continued = true
		return nil
	}}
	q, err := readOne(&reader, limit)
	var e *fault.Error
	switch {
	case errors.As(err, &e):
		if continued {
			t.Error("the client was told to send the body")
		}
		return e.Kind.String()
	case err != nil:
		return "lost"
	}
	if len(q.Body) != r.Bytes {
		t.Errorf("%d bytes, want %d", len(q.Body), r.Bytes)
	}
	if r.Release {
		q.Release()
	}
	return "read"
}

func (r bodyRequest) text() string {
	text := "POST /a HTTP/1.1\r\nHost: h\r\n"
	if r.Expect {
		text += "Expect: 100-continue\r\n"
	}
	body := strings.Repeat("x", r.Bytes)
	if r.Chunked {
		text += "Transfer-Encoding: chunked\r\n\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", r.Bytes, body)
	} else {
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n", r.Bytes)
	}
	if r.Cut {
		body = body[:len(body)/2]
	}
	return text + body
}
