package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bergamotworks/note"
	"bergamotworks/site"
)

const (
	minChangeInterval = 200 * time.Millisecond
	maxChangeInterval = 1500 * time.Millisecond
	// configDelay is the time within which a change is active on every node that
	// can learn of it.
	configDelay = 3 * time.Second
	// contactTime is how long before a change a node must be undisturbed for
	// configDelay to apply.
	contactTime = 4 * time.Second
)

// change is an accepted release note that added a route.
type change struct {
	prefix   string
	accepted time.Time
}

// operator changes the configuration while the load runs, and checks that nodes
// serve the routes that it has added.
type operator struct {
	env        *env
	random     *rand.Rand
	client     *client // Sends the requests of the checks.
	checkDelay bool    // Report nodes that do not know a route after configDelay as violations.

	changes []change
	checked int // Number of changes that were checked.
}

// run changes the configuration until the context ends.
func (o *operator) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for n := 1; ctx.Err() == nil; n++ {
		if c, err := o.addRoute(n); err == nil { // Nodes may be down.
			o.changes = append(o.changes, c)
		}
		o.checkDue()
		pause := minChangeInterval + time.Duration(o.random.Int64N(int64(maxChangeInterval-minChangeInterval)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// addRoute submits a release note that adds a route. After an error the route may
// have been added.
func (o *operator) addRoute(n int) (change, error) {
	admin := o.env.nodes[o.random.IntN(len(o.env.nodes))].admin
	config, err := currentConfig(admin)
	if err != nil {
		return change{}, err
	}
	c := change{prefix: fmt.Sprintf("/added/%d/", n)}
	text, err := json.Marshal(note.Note{
		ID: fmt.Sprintf("added-%d", n), BaseRevision: config.Revision,
		Added: note.Sections{Routes: map[string]note.Route{fmt.Sprintf("added-%d", n): o.env.route(c.prefix, site.Idempotent)}},
	})
	if err != nil {
		return change{}, trace.Wrap(err)
	}
	file := filepath.Join(o.env.dir, "added.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return change{}, trace.Wrap(err)
	}
	if err := o.env.runCommand("note", "offer", "-wait=false", file); err != nil {
		return change{}, err
	}
	c.accepted = time.Now()
	return c, nil
}

// checkDue checks the changes that must be active by now.
func (o *operator) checkDue() {
	for ; o.checked < len(o.changes); o.checked++ {
		c := o.changes[o.checked]
		if time.Since(c.accepted) < configDelay {
			return
		}
		for _, n := range o.env.nodes {
			o.check(n, c)
		}
	}
}

// check sends a request on an added route to a node that was undisturbed, with the
// store, since before the change.
func (o *operator) check(n *node, c change) {
	sent := time.Now()
	o.client.send(n, c.prefix)
	status := o.client.outcomes[len(o.client.outcomes)-1].status
	calm := c.accepted.Add(-contactTime)
	if status != http.StatusNotFound || !o.checkDelay || !n.calmSince(calm) || !o.env.store.undisturbed(calm) {
		return
	}
	o.client.addViolation("%s does not know %s %s after it was accepted", n.id, c.prefix, sent.Sub(c.accepted).Round(time.Millisecond))
}

// calmSince reports whether neither the node nor its links were disturbed since a
// time.
func (n *node) calmSince(since time.Time) bool {
	return n.undisturbed(since) && n.storeProxy.passingSince(since) && n.routesProxy.passingSince(since)
}

// knows reports whether a node serves all routes that were added.
func (o *operator) knows(n *node) bool {
	for _, c := range o.changes {
		if !o.client.send(n, c.prefix) {
			return false
		}
	}
	return true
}
