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
	requestInterval = 20 * time.Millisecond
	// deadlineTolerance is how much later than its deadline a response may arrive on
	// a busy machine.
	deadlineTolerance = 1 * time.Second
	// clientTimeout is the time after which a client cancels its request.
	clientTimeout = 5 * time.Second
)

// outcome is the result of one request.
type outcome struct {
	id            string
	nonIdempotent bool
	status        int  // Zero if there was no complete response.
	sealed        bool // The response has a seal: a target itself made it.
}

// notRun reports whether the response says that the request did not run.
func (o outcome) notRun() bool {
	return !o.sealed && o.status != 0 && o.status != http.StatusBadGateway && o.status != http.StatusGatewayTimeout
}

// client sends one request after the other, each to a random node, over
// persistent connections.
type client struct {
	env            *env
	random         *rand.Rand
	name           string
	checkDeadlines bool // Report responses far after their deadline as violations.

	http       http.Client
	sent       int
	outcomes   []outcome
	violations []string
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for ctx.Err() == nil {
		n := c.env.nodes[c.random.IntN(len(c.env.nodes))]
		c.send(n, []string{orderPrefix, readPrefix, stagePrefix}[c.random.IntN(3)])
		time.Sleep(requestInterval)
	}
	c.http.CloseIdleConnections()
}

// send sends one request to a node and reports whether it was served.
func (c *client) send(n *node, prefix string) bool {
	c.sent++
	o := outcome{id: fmt.Sprintf("%s-%d", c.name, c.sent), nonIdempotent: prefix == orderPrefix}
	started := time.Now()
	body := strings.Repeat(o.id+" ", 1+c.random.IntN(200))
	got, err := c.exchange(&o, n, prefix, body, promptParts(o.id))
	elapsed := time.Since(started)
	c.outcomes = append(c.outcomes, o)
	if err != nil {
		return false
	}
	if o.sealed && o.status == http.StatusOK && got != echoPrefix+body {
		c.addViolation("%s: response has %d bytes, want %d", o.id, len(got), len(echoPrefix+body))
	}
	if c.checkDeadlines && elapsed > deadlineMS*time.Millisecond+deadlineTolerance && n.undisturbed(started) && n.routesProxy.current() == passing {
		c.addViolation("%s: %s responded only after %s", o.id, n.id, elapsed.Round(time.Millisecond))
	}
	return o.sealed && o.status == http.StatusOK
}

func (c *client) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// exchange sends a request with a prompt of the given parts and returns the body of
// its response.
func (c *client) exchange(o *outcome, n *node, prefix, body, parts string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.routesProxy.address+prefix+"x", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.GetBody = nil // Prevents the HTTP client from sending it twice.
	names := relay.DefaultHeaderNames()
	request.Host = routeHost
	request.Header.Set(names.Request, o.id)
	request.Header.Set(names.AccountKey, account)
	request.Header.Set(names.PromptParts, parts)
	request.Header.Set(names.Deadline, strconv.Itoa(deadlineMS))
	if prefix == stagePrefix {
		request.Header.Set(names.StagePieces, strconv.Itoa(piecesPerRequest))
		request.Header.Set(names.PieceKey, o.id)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // It has been read completely.
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	o.status, o.sealed = response.StatusCode, response.Header.Get(names.Seal) != ""
	if id := response.Header.Get(names.Request); id != "" && id != o.id {
		c.addViolation("%s: got the response to %s", o.id, id)
	}
	return string(data), nil
}

// check compares the outcomes with the runs that the targets counted, and adds the
// violations.
func (c *client) check(counter *runCounter) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	for _, o := range c.outcomes {
		runs := counter.runs[o.id]
		if o.nonIdempotent && runs > 1 {
			c.addViolation("%s: non-idempotent request ran %d times", o.id, runs)
		}
		if o.notRun() && runs > 0 && o.nonIdempotent {
			c.addViolation("%s: status %d means that it did not run, but it ran", o.id, o.status)
		}
		if o.sealed && o.status == http.StatusOK && runs == 0 {
			c.addViolation("%s: successful response, but it did not run", o.id)
		}
	}
}
