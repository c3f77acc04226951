package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// expireAfter is the time of silence after which the store drops an entry.
	expireAfter = 3 * heartbeat
)

// worker is a stand-in for a worker of a service.
type worker struct {
	pool    *pool
	id      string
	service string
	zone    string
	address string
	born    int64

	listener net.Listener
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
	running  int
	state    string
	silent   bool // It writes no more entries.
	dead     bool
	seq      atomic.Int64
}

// pool is all workers of a run.
type pool struct {
	rec   *record
	store *store
	ip    string
	work  time.Duration
	slots int
	// onRequest is called when a request has arrived and runs; a true result crashes
	// the worker.
	onRequest func(w *worker, r *http.Request, body []byte) bool
	// custom serves a channel instead of the worker's own code; may be nil.
	custom func(w *worker, c net.Conn)
	mutex  sync.Mutex
	count  int
	all    []*worker
}

func (p *pool) start(service, zone string) *worker {
	l, err := net.Listen("tcp", p.ip+":0")
	if err != nil {
		panic(err)
	}
	p.mutex.Lock()
	p.count++
	w := &worker{
		pool: p, id: fmt.Sprintf("i-%04d%04x", p.count, time.Now().UnixNano()&0xffff), service: service, zone: zone,
		address: l.Addr().String(), born: time.Now().UnixMilli(), listener: l, conns: map[net.Conn]struct{}{}, state: "ready",
	}
	p.all = append(p.all, w)
	p.mutex.Unlock()
	w.report()
	go w.beat()
	go w.accept()
	p.rec.add("worker %s of %s starts at %s", w.id, service, w.address)
	return w
}

// report writes the entry of the worker.
func (w *worker) report() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.silent {
		return
	}
	w.pool.store.put("servers/"+w.id, map[string]any{
		"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": w.pool.slots, "state": w.state,
		"coldLeftMs": 0, "seq": w.seq.Add(1), "born": w.born,
	})
}

func (w *worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.mutex.Lock()
		silent := w.silent
		w.mutex.Unlock()
		if silent {
			return
		}
		w.report()
	}
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mutex.Lock()
		if w.dead {
			_ = c.Close()
		} else {
			w.conns[c] = struct{}{}
			go w.serve(c)
		}
		w.mutex.Unlock()
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mutex.Lock()
		delete(w.conns, c)
		w.mutex.Unlock()
	}()
	if w.pool.custom != nil {
		w.pool.custom(w, c)
		return
	}
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil || !w.handle(c, q, body) {
			return
		}
	}
}

func (w *worker) write(c net.Conn, status, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err == nil
}

func (w *worker) handle(c net.Conn, q *http.Request, body []byte) bool {
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return w.write(c, "421 Misdirected Request", "X-Instance-Id: "+w.id+"\r\n", "")
	}
	if strings.HasPrefix(q.URL.Path, "/api/") || q.URL.Path == "/health" {
		return w.write(c, "200 OK", "X-Instance-Id: "+w.id+"\r\n", "{}")
	}
	id := q.Header.Get("X-Attempt-Id")
	w.mutex.Lock()
	full := w.running >= w.pool.slots
	if !full {
		w.running++
	}
	load := fmt.Sprintf("%d,0,%d", w.running, w.pool.slots)
	w.mutex.Unlock()
	head := "X-Attempt-Id: " + id + "\r\nX-Server-Load: " + load + "\r\n"
	if full {
		return w.write(c, "503 Service Unavailable", head+"X-Not-Executed: 1\r\n", "")
	}
	defer func() {
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
	}()
	if w.pool.onRequest(w, q, body) {
		w.crash()
		return false
	}
	time.Sleep(w.pool.work)
	text := "answer to " + id
	if q.Method == http.MethodHead {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Response-Seal: seal.%s.0\r\nContent-Length: %d\r\n\r\n", head, w.id, len(text))
		return err == nil
	}
	return w.write(c, "200 OK", head+fmt.Sprintf("X-Response-Seal: seal.%s.%d\r\n", w.id, len(text)), text)
}

// crash ends the process of the worker: all channels are reset. Its entry disappears
// after expireAfter.
func (w *worker) crash() {
	w.mutex.Lock()
	if w.dead {
		w.mutex.Unlock()
		return
	}
	w.dead, w.silent = true, true
	_ = w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	w.mutex.Unlock()
	time.AfterFunc(expireAfter, func() { w.pool.store.remove("servers/" + w.id) })
}

// withdraw removes the entry of a worker that leaves without reporting draining. It
// goes on serving.
func (w *worker) withdraw() {
	w.mutex.Lock()
	w.silent = true
	w.mutex.Unlock()
	w.pool.store.remove("servers/" + w.id)
}
