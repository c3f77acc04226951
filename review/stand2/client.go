package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// call is a request of a client.
type call struct {
	method, path string
	headers      map[string]string
	body         string
	key          string // Empty means apiKey.
	deadline     time.Duration
}

// answer is what a client has got.
type answer struct {
	id     string
	status int // Zero if there was none.
	sealed bool
	whole  bool
	body   string
}

var lastID atomic.Int64

// newID returns an identifier for a request.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// channel is an open connection of a client to a node.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// text returns the request as it is sent.
func (c call) text(id string) string {
	t := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, routeHost, id, cmp.Or(c.key, apiKey), c.deadline.Milliseconds())
	for name, value := range c.headers {
		t += name + ": " + value + "\r\n"
	}
	if c.method == http.MethodPost {
		t += "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n"
	}
	return t + "\r\n" + c.body
}

// send sends a request and reads the answer.
func (c *channel) send(v call) answer { return c.sendAs(newID(), v) }

// sendAs is send for a request with a given identifier.
func (c *channel) sendAs(id string, v call) answer {
	a := answer{id: id}
	_ = c.conn.SetDeadline(time.Now().Add(v.deadline + time.Second)) // A failure also fails the write.
	if _, err := io.WriteString(c.conn, v.text(a.id)); err != nil {
		return a
	}
	return c.read(a, v.method)
}

func (c *channel) read(a answer, method string) answer {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return a
	}
	data, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	a.status, a.sealed, a.whole, a.body = r.StatusCode, r.Header.Get("X-Response-Seal") != "", err == nil, string(data)
	return a
}
