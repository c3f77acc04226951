package wire_test

import (
	"bufio"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/script"
	"bergamotworks/wire"
)

// requestCase is the data that a client sends on a connection, and the requests
// that are read from it.
type requestCase struct {
	Lines []string `json:"lines"` // Each ends with CR LF.
	Raw   string   `json:"raw"`   // Appended to the lines unchanged.
	Limit int64    `json:"limit"` // Maximum body size in bytes.
	// Want has the method, URI and body of each expected request.
	Want []string `json:"want"`
	// ErrorKind is the kind of the error after them; empty for an error of the
	// connection, such as the end of the data.
	ErrorKind string `json:"refusal"`
}

func TestReadRequest(t *testing.T) {
	script.Run(t, "testdata/request/*.json", testReadRequest)
}

func testReadRequest(t *testing.T, v requestCase) {
	text := v.Raw
	if len(v.Lines) > 0 {
		text = strings.Join(v.Lines, "\r\n") + "\r\n" + v.Raw
	}
	reader := wire.Reader{Buffer: bufio.NewReaderSize(strings.NewReader(text), 512)}
	var got []string
	kind := ""
	for {
		q, err := readOne(&reader, v.Limit)
		if err != nil {
			if fe, ok := err.(*fault.Error); ok { //nolint:errorlint // ReadHeader and ReadBody return it unwrapped.
				kind = fe.Kind.String()
			}
			break
		}
		got = append(got, q.Method+" "+q.URI+" "+string(q.Body))
	}
	if diff := cmp.Diff(v.Want, got); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(v.ErrorKind, kind); diff != "" {
		t.Errorf("error kind (-want +got):\n%s", diff)
	}
}

func readOne(r *wire.Reader, limit int64) (*wire.Request, error) {
	q, err := r.ReadHeader()
	if err != nil {
		return nil, err
	}
	return q, r.ReadBody(q, limit)
}

func FuzzReadRequest(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nokGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := wire.Reader{Buffer: bufio.NewReaderSize(strings.NewReader(text), 512)}
		for {
			q, err := readOne(&reader, 1<<16)
			if err != nil {
				return
			}
			if strings.ContainsAny(q.URI, " \r\n") || q.Headers.Count("Content-Length")+q.Headers.Count("Transfer-Encoding") > 1 {
				t.Fatalf("accepted an ambiguous request: %q %v", q.URI, q.Headers)
			}
		}
	})
}
