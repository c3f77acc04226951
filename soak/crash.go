package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotworks/relay"
)

const (
	sharedPart = "5a:10" // Part of the prompts of all requests.
	// crashPart is the part of a prompt that crashes each target that runs the
	// request.
	crashPart = "c0:5"
	// crashInterval is the time between two requests that crash their targets.
	crashInterval = 150 * time.Millisecond
	// crashSettling is the time after the fifth crash in which the nodes find out
	// which part crashes targets; maxLateCrashes is the number of requests that may
	// still do so after it, sent by nodes that were undisturbed for that time.
	crashSettling  = 3 * time.Second
	maxLateCrashes = 3
)

// promptParts returns the parts of the prompt of a request, with the middle ones
// between the shared part and one of its own.
func promptParts(id string, middle ...string) string {
	parts := append([]string{sharedPart}, middle...)
	return strings.Join(append(parts, id+":1"), ",")
}

// crasher sends requests whose prompts share a part that crashes targets, each
// with another content.
type crasher struct {
	env    *env
	client *client

	sent []crashRequest
}

// crashRequest is a request that crashes its target.
type crashRequest struct {
	id string
	at time.Time
	// settled means that its node was undisturbed for crashSettling before, and
	// reached by the other nodes and the store.
	settled bool
}

// run sends requests until the context ends.
func (c *crasher) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	defer c.client.http.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		n := c.env.nodes[i%len(c.env.nodes)]
		r := crashRequest{id: c.client.name + "-" + strconv.Itoa(i), at: time.Now()}
		r.settled = n.undisturbed(r.at.Add(-crashSettling)) && n.storeProxy.passingSince(r.at.Add(-crashSettling))
		c.sent = append(c.sent, r)
		o := outcome{id: r.id}
		// The response does not matter: the request may fail in any way.
		_, _ = c.client.exchange(&o, n, readPrefix, r.id, promptParts(r.id, crashPart))
		time.Sleep(crashInterval)
	}
}

// check adds a violation if requests went on to crash targets after the settling
// time.
func (c *crasher) check(counter *runCounter) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	slices.SortFunc(counter.crashes, time.Time.Compare)
	if len(counter.crashes) < 5 {
		return
	}
	settled := counter.crashes[4].Add(crashSettling)
	late := 0
	for _, r := range c.sent {
		if r.settled && r.at.After(settled) {
			late += counter.runs[r.id]
		}
	}
	if late > maxLateCrashes {
		c.client.addViolation("requests with one part in their prompts crashed targets %d times, %d times sent more than %s after the fifth by undisturbed nodes, want at most %d", len(counter.crashes), late, crashSettling, maxLateCrashes)
	}
}

// crashes reports whether a request crashes its target.
func crashes(r *http.Request) bool {
	return strings.Contains(r.Header.Get(relay.DefaultHeaderNames().PromptParts), crashPart)
}

// crash ends all requests that run at the target.
func (t *target) crash() {
	t.runs.recordCrash(time.Now())
	t.crashCount.Add(1)
	panic(http.ErrAbortHandler)
}

// recordCrash records the time of a crash.
func (c *runCounter) recordCrash(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crashes = append(c.crashes, at)
}

// String describes the crashes for the output of a run.
func (c *runCounter) String() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return fmt.Sprintf("%d crashes of targets by requests", len(c.crashes))
}
