package main

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headClients = 16
	headPause   = 100 * time.Millisecond
	headBefore  = 5 * time.Second  // Until the key is taken away.
	headAfter   = 15 * time.Second // From then on.
	spareKey    = "jnbanfqasnmgkcuyj8pj"
)

func init() { cases["head-revoke"] = runHead }

// headRun is a run in which clients that keep their channels send HEAD and GET requests,
// until a key is taken away from half of them.
type headRun struct {
	*run
	env      *environment
	mutex    sync.Mutex
	statuses map[string]int
	noAnswer int
}

func runHead(r *run) (int, error) {
	h := &headRun{run: r, statuses: map[string]int{}}
	env, err := newEnvironment(r, 8, zones, false)
	if err != nil {
		return failed, err
	}
	h.env = env
	defer env.close()
	env.pool.work, env.pool.slots = 15*time.Millisecond, 30 // Six slots and a queue of 24.
	env.pool.onRequest = func(*worker, *http.Request, []byte) bool { return false }
	for i := range 3 {
		env.pool.start("facturation", zones[i%len(zones)])
	}
	env.store.put("op/config", headConfiguration(7, apiKey, spareKey))
	if err := env.start(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range headClients {
		clients.Add(1)
		key := apiKey
		if i%2 == 1 {
			key = spareKey
		}
		go h.client(env.fleet.nodes[i%len(env.fleet.nodes)], key, stop, &clients)
	}
	time.Sleep(headBefore)
	if r.trouble {
		env.store.put("op/config", headConfiguration(11, spareKey))
		r.rec.add("version 11 of the configuration takes the key %s away", apiKey)
	}
	time.Sleep(headAfter)
	close(stop)
	clients.Wait()
	r.rec.add("answers by method and status: %v", h.statuses)
	r.rec.add("%d times the bytes where an answer was due were no answer in the protocol", h.noAnswer)
	if h.noAnswer > 0 {
		return broken, nil
	}
	return held, nil
}

func headConfiguration(version int, keys ...string) map[string]any {
	c := configuration(version, "facturation")
	c["tenants"] = []any{map[string]any{"name": "bozi300", "apiKeys": keys, "priority": 1}}
	return c
}

// client sends HEAD and GET requests in turn on a channel that it keeps.
func (h *headRun) client(n *node, key string, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	var c net.Conn
	var r *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(headPause):
		}
		if c == nil {
			conn, err := net.DialTimeout("tcp", n.front, time.Second)
			if err != nil {
				continue
			}
			c, r = conn, bufio.NewReader(conn)
		}
		q := request{method: "HEAD", host: routeHost, path: routePrefix + "2f", id: newID(), headers: []string{"X-Key: " + key}, deadline: 1500 * time.Millisecond}
		if i%2 == 1 {
			q.method = "GET"
		}
		a, err := q.exchange(c, r)
		h.mutex.Lock()
		if err == nil {
			h.statuses[q.method+" "+http.StatusText(a.status)]++
		} else if strings.Contains(err.Error(), "malformed") {
			h.noAnswer++
			h.rec.add("%s %s to %s: %v", q.method, q.id, n.name, err)
		}
		h.mutex.Unlock()
		if err != nil || a.close {
			_ = c.Close()
			c = nil
		}
	}
}
