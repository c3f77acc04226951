package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotworks/platform"
	"bergamotworks/site"
)

// Run is one request that has reached a target and that it has begun to run.
type Run struct {
	Target string
	Path   string
	ID     string // Of the request.
	Body   string
	Node   string // IP address of the node that has sent it.
	At     time.Time
}

// Notice is what a target has said of itself to a node.
type Notice struct {
	Target string
	Node   string // IP address.
	Leaves bool   // It leaves; otherwise it wants no request for waitSeconds.
	At     time.Time
}

// target is a stand-in for a target. It serves requests and streams.
type target struct {
	world   *World
	id      string
	service string
	domain  string
	address string
	host    *Host

	mutex    sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	last     map[*conn]string // Responses that RepeatLate repeats.
	fault    Fault            // Of its responses.
	leaving  bool             // It says in its responses that it leaves.
	running  sync.WaitGroup
}

// Fault is what a target does instead of a sound response.
type Fault string

// Faults of targets.
const (
	NoFault    Fault = ""
	Garbage    Fault = "garbage"     // Bytes that are no response.
	CutBody    Fault = "cut_body"    // Half of the body, and the connection is closed.
	ErrorReply Fault = "error_reply" // Status 500.
	Repeat     Fault = "repeat"      // A second response after the complete one.
	Endless    Fault = "endless"     // A header without an end.
	Refuse     Fault = "refuse"      // It has not run the request.
	AskWait    Fault = "ask_wait"    // The same, and it wants no request for waitSeconds.
	RepeatLate Fault = "repeat_late" // The response before once more, ahead of the next one.
	Silent     Fault = "silent"      // No response.
)

// sendsHeader reports whether a response with the fault has a complete header.
func (f Fault) sendsHeader() bool { return f != Garbage && f != Endless && f != Silent }

const (
	targetWork     = 20 * time.Millisecond // Time to run a request.
	streamEvents   = 4
	streamEventGap = 15 * time.Millisecond
	maxEndless     = 64 << 10 // Bytes after which an endless header stops.
	waitSeconds    = 2        // That a target asks for.
)

func (t *target) start() error {
	l, err := t.host.Listen(t.address)
	if err != nil {
		return err
	}
	t.listener, t.conns, t.last = l, make(map[*conn]struct{}), make(map[*conn]string)
	t.running.Add(1)
	go t.run()
	return nil
}

func (t *target) run() {
	defer t.running.Done()
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mutex.Lock()
		t.conns[c.(*conn)] = struct{}{}
		t.mutex.Unlock()
		t.running.Add(1)
		go targetConn{target: t, conn: c.(*conn)}.run()
	}
}

// end ends the process of the target, with its connections.
func (t *target) end() {
	_ = t.listener.Close() // It never fails.
	t.mutex.Lock()
	for c := range t.conns {
		c.abort()
	}
	t.mutex.Unlock()
}

// entry returns what the target says of itself in the store.
func (t *target) entry(draining bool) site.Target {
	return site.Target{ID: t.id, Service: t.service, Address: t.address, Domain: t.domain, Version: "v1", Slots: 64, Draining: draining}
}

func (t *target) setFault(f Fault) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fault = f
}

func (t *target) setLeaving() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leaving = true
}

// targetConn is a connection from a node.
type targetConn struct {
	target *target
	conn   *conn
}

func (c targetConn) run() {
	t := c.target
	defer t.running.Done()
	defer func() {
		_ = c.conn.Close() // It never fails.
		t.mutex.Lock()
		delete(t.conns, c.conn)
		t.mutex.Unlock()
	}()
	r := bufio.NewReader(c.conn)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil || !c.serve(q, string(body)) {
			return
		}
	}
}

// note records what the target says of itself in a response to the node.
func (c targetConn) note(leaves bool) {
	c.target.world.recordNotice(Notice{Target: c.target.id, Node: hostOf(c.conn.remote), Leaves: leaves, At: time.Now()})
}

// names are those of the header fields that targets and clients use.
var names = platform.HeaderNames()

// field returns a header field as it is sent.
func field(name, value string) string { return name + ": " + value + "\r\n" }

// serve handles one request and reports whether the connection stays open.
func (c targetConn) serve(q *http.Request, body string) bool {
	t := c.target
	id := q.Header.Get(names.Request)
	t.mutex.Lock()
	f, leaving := t.fault, t.leaving
	t.mutex.Unlock()
	header := field(names.Request, id) + field(names.Responder, t.id) + field(names.Seal, "seal-"+t.id)
	if leaving {
		header += field(names.Leaving, "1")
		if f.sendsHeader() && !strings.HasPrefix(body, crashBody) {
			c.note(true)
		}
	}
	if q.Header.Get(names.Target) != t.id {
		return c.write("421 Misdirected Request", header, "")
	}
	t.world.recordArrival(t.id, hostOf(c.conn.remote))
	if f == AskWait {
		c.note(false)
		header += field("Retry-After", strconv.Itoa(waitSeconds))
	}
	if f == AskWait || f == Refuse {
		return c.write("503 Service Unavailable", header+field(names.NotRun, "1"), "")
	}
	t.world.recordRun(Run{Target: t.id, Path: q.URL.Path, ID: id, Body: body, Node: hostOf(c.conn.remote), At: time.Now()})
	time.Sleep(targetWork)
	if strings.HasPrefix(body, crashBody) {
		t.world.recordCrash(t, body)
		return false
	}
	if strings.HasPrefix(q.URL.Path, streamPath) {
		return c.stream(header, body, f)
	}
	return c.respond(header, body, f)
}

// before returns the last response on the connection that remember was called with.
func (c targetConn) before() string {
	c.target.mutex.Lock()
	defer c.target.mutex.Unlock()
	return c.target.last[c.conn]
}

func (c targetConn) remember(response string) {
	c.target.mutex.Lock()
	defer c.target.mutex.Unlock()
	c.target.last[c.conn] = response
}

func (c targetConn) write(status, header, body string) bool {
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

func (c targetConn) respond(header, body string, f Fault) bool {
	answer := echo(body)
	switch f {
	case Garbage:
		_, _ = io.WriteString(c.conn, "\x00\x01 what is this\r\n\r\n") // The connection is closed in any case.
		return false
	case CutBody:
		_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(answer), answer[:len(answer)/2])
		return false
	case Endless:
		return c.sendEndless(header)
	case ErrorReply:
		return c.write("500 Internal Server Error", header, "bad")
	case Silent:
		_, _ = io.Copy(io.Discard, c.conn) // Until the node closes the connection.
		return false
	case RepeatLate:
		before := c.before()
		c.remember("HTTP/1.1 200 OK\r\n" + header + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answer), answer))
		if _, err := io.WriteString(c.conn, before); err != nil {
			return false
		}
	case Repeat:
		if !c.write("200 OK", header, answer) {
			return false
		}
	case NoFault, Refuse, AskWait:
	}
	return c.write("200 OK", header, answer)
}

func (c targetConn) sendEndless(header string) bool {
	_, err := io.WriteString(c.conn, "HTTP/1.1 200 OK\r\n"+header)
	block := strings.Repeat("A: b\r\n", 512)
	for sent := 0; err == nil && sent < maxEndless; sent += len(block) {
		_, err = io.WriteString(c.conn, block)
	}
	return false
}

// stream sends events that each name the body of the request.
func (c targetConn) stream(header, body string, f Fault) bool {
	if f == Garbage || f == ErrorReply || f == Silent {
		return c.respond(header, body, f)
	}
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") // The next write fails, too.
	for i := 1; i <= streamEvents; i++ {
		time.Sleep(streamEventGap)
		e := streamEvent(i, body)
		if f == CutBody && i == streamEvents {
			_, _ = fmt.Fprintf(c.conn, "%x\r\n%s", len(e), e[:len(e)/2])
			return false
		}
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err == nil
}

func streamEvent(number int, body string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, body)
}

// echo returns the body of the response to a request.
func echo(body string) string { return "echo:" + body }

// wholeStream returns the body of the response to a stream.
func wholeStream(body string) string {
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		b.WriteString(streamEvent(i, body))
	}
	return b.String()
}
