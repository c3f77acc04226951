package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// The paths of the routes, each followed by anything.
const (
	idempotentPath = "/plain/"
	orderPath      = "/order/" // Must run at most once.
	streamPath     = "/stream/"
)

// crashBody begins the body of requests that crash their targets.
const crashBody = "crash "

const (
	clientDeadline = 1500 * time.Millisecond // That clients state.
	clientPatience = 6 * time.Second         // After which they give up.
)

// Request is what a client has sent and received.
type Request struct {
	ID     string
	Path   string
	Body   string
	Node   string // IP address.
	Sent   time.Time
	Ended  time.Time
	Status int // Zero if no whole response came.
	Answer string
	Error  string
}

// clientConn is the connection of a client to a node, kept for several requests.
type clientConn struct {
	conn   *conn
	reader *bufio.Reader
	until  time.Time
}

// client sends requests one after another, each to a node that the balancer names, and
// keeps its connections.
type client struct {
	world *World
	host  *Host
	name  string
	conns map[string]*clientConn // By the address of the node.
	sent  int
}

// send sends a request and records its outcome.
func (c *client) send(path, body string) {
	node := c.world.pickNode()
	if node == nil {
		return
	}
	c.sent++
	q := &Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Path: path, Node: node.ip, Sent: time.Now()}
	q.Body = body
	if q.Body == "" {
		q.Body = "of " + q.ID
	}
	c.world.recordRequest(q)
	if err := c.exchange(q, node.clientAddress()); err != nil {
		q.Error = err.Error()
	}
	q.Ended = time.Now()
}

func (c *client) exchange(q *Request, address string) error {
	k, err := c.connect(address)
	if err != nil {
		return err
	}
	_ = k.conn.SetDeadline(time.Now().Add(clientPatience)) // It never fails.
	header := field("Host", routeHost) + field(names.Request, q.ID) + field(names.AccountKey, clientKey) +
		field(names.Deadline, strconv.FormatInt(clientDeadline.Milliseconds(), 10)) + field("Content-Length", strconv.Itoa(len(q.Body)))
	text := "POST " + q.Path + " HTTP/1.1\r\n" + header + "\r\n" + q.Body
	if _, err := io.WriteString(k.conn, text); err != nil {
		c.drop(address)
		return err
	}
	r, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		c.drop(address)
		return err
	}
	defer func() { _ = r.Body.Close() }() // It has been read.
	answer, err := io.ReadAll(r.Body)
	q.Answer = string(answer)
	if err != nil {
		c.drop(address)
		return err
	}
	q.Status = r.StatusCode
	if r.Close || k.reader.Buffered() > 0 {
		c.drop(address)
	}
	if k.reader.Buffered() > 0 {
		return fmt.Errorf("%d bytes after the response", k.reader.Buffered())
	}
	return nil
}

func (c *client) connect(address string) (*clientConn, error) {
	if k := c.conns[address]; k != nil && k.conn.Idle() && time.Now().Before(k.until) {
		return k, nil
	}
	c.drop(address)
	ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
	defer cancel()
	conn0, err := c.host.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	k := &clientConn{conn: conn0.(*conn), until: time.Now().Add(keepConn)}
	k.reader = bufio.NewReader(k.conn)
	c.conns[address] = k
	return k, nil
}

// keepConn is how long a client keeps a connection.
const keepConn = 5 * time.Second

func (c *client) drop(address string) {
	if k := c.conns[address]; k != nil {
		_ = k.conn.Close() // It never fails.
		delete(c.conns, address)
	}
}

func (c *client) close() {
	for a := range c.conns {
		c.drop(a)
	}
}

// saysNotRun reports whether a client takes the status to mean that the request has not
// run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		return true
	}
	return false
}

func statusText(status int) string {
	if status == 0 {
		return "no response"
	}
	return strconv.Itoa(status)
}
