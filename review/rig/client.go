package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// since returns the time since the start of the record.
func (r *record) since() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// answer is a response as a client sees it.
type answer struct {
	status     int
	retryAfter string
	body       string
	close      bool
}

// newID returns an identifier for a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request is one client attempt.
type request struct {
	method, host, path, id string
	headers                []string
	body                   string
	deadline               time.Duration
}

func (q request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// send sends a request on a new channel and reads its answer.
func (q request) send(address string) (answer, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = c.Close() }()
	return q.exchange(c, bufio.NewReader(c))
}

// exchange sends a request on an open channel and reads its answer.
func (q request) exchange(c net.Conn, r *bufio.Reader) (answer, error) {
	_ = c.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := io.WriteString(c, q.text()); err != nil {
		return answer{}, err
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: q.method})
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: string(body), close: resp.Close}, nil
}
