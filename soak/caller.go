package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotworks/relay"
)

const (
	callerPause = 20 * time.Millisecond
	// lateSlack is how much later than its deadline an answer may come on a busy
	// machine.
	lateSlack = 1 * time.Second
	// giveUp is the time after which a caller leaves.
	giveUp = 5 * time.Second
)

// outcome is what a caller got.
type outcome struct {
	id     string
	order  bool
	status int // Zero if there was no whole answer.
	sealed bool
}

// notRun reports whether the answer says that the request has not run.
func (o outcome) notRun() bool {
	return !o.sealed && o.status != 0 && o.status != http.StatusBadGateway && o.status != http.StatusGatewayTimeout
}

// caller sends one request after the other, each to any node, over connections
// that it keeps until they end.
type caller struct {
	world  *world
	random *rand.Rand
	name   string
	late   bool // Answers after their deadline are faults.

	client   http.Client
	sent     int
	outcomes []outcome
	faults   []string
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: 4}
	for ctx.Err() == nil {
		n := c.world.nodes[c.random.IntN(len(c.world.nodes))]
		c.ask(n, []string{orderPrefix, readPrefix, stagePrefix}[c.random.IntN(3)])
		time.Sleep(callerPause)
	}
	c.client.CloseIdleConnections()
}

// ask sends one request to a node and reports whether it was served.
func (c *caller) ask(n *node, prefix string) bool {
	c.sent++
	o := outcome{id: fmt.Sprintf("%s-%d", c.name, c.sent), order: prefix == orderPrefix}
	began := time.Now()
	body := strings.Repeat(o.id+" ", 1+c.random.IntN(200))
	got, err := c.exchange(&o, n, prefix, body)
	took := time.Since(began)
	c.outcomes = append(c.outcomes, o)
	if err != nil {
		return false
	}
	if o.sealed && o.status == http.StatusOK && got != echoed+body {
		c.fault("%s: an answer of %d bytes instead of %d", o.id, len(got), len(echoed+body))
	}
	if c.late && took > deadlineMS*time.Millisecond+lateSlack && n.calm(began) && n.router.current() == passing {
		c.fault("%s: answered by %s after %s", o.id, n.id, took.Round(time.Millisecond))
	}
	return o.sealed && o.status == http.StatusOK
}

func (c *caller) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(o *outcome, n *node, prefix, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), giveUp)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.router.address+prefix+"x", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	q.GetBody = nil // The client must not send it twice.
	names := relay.DefaultHeaderNames()
	q.Host = routeHost
	q.Header.Set(names.Request, o.id)
	q.Header.Set(names.AccountKey, account)
	q.Header.Set(names.Deadline, strconv.Itoa(deadlineMS))
	if prefix == stagePrefix {
		q.Header.Set(names.StagePieces, strconv.Itoa(piecesAsked))
		q.Header.Set(names.PieceKey, o.id)
	}
	answer, err := c.client.Do(q)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }() // It has been read.
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", err
	}
	o.status, o.sealed = answer.StatusCode, answer.Header.Get(names.Seal) != ""
	if id := answer.Header.Get(names.Request); id != "" && id != o.id {
		c.fault("%s: got the answer to %s", o.id, id)
	}
	return string(data), nil
}

// check compares what callers got with what the targets have run.
func (c *caller) check(w *witness) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, o := range c.outcomes {
		runs := w.runs[o.id]
		if o.order && runs > 1 {
			c.fault("%s: an order ran %d times", o.id, runs)
		}
		if o.notRun() && runs > 0 && o.order {
			c.fault("%s: answered %d, which says that it has not run, and ran", o.id, o.status)
		}
		if o.sealed && o.status == http.StatusOK && runs == 0 {
			c.fault("%s: answered with success and has not run", o.id)
		}
	}
}
