package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets the default seed and number of random schedules. Set
// -rapid.checks and -rapid.seed for a longer run.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestRandomSchedules runs the shards of several nodes in random schedules, with
// lost, late and stale responses of the store, crashes, takeovers and repeated
// requests. A key must be dispatched at most once and never after its call was
// reported to the client as not run, and recorded results must not be lost.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEnv(t)
		for range randomSteps {
			e.step()
		}
		e.checkFinalState()
	})
}

// pick draws a number in [0, n).
func (e *env) pick(n int) int { return rapid.IntRange(0, n-1).Draw(e.t, "n") }

func (e *env) step() {
	steps := []func(){
		e.startAttempt, e.advanceAttempt, e.advanceAttempt, e.advanceAttempt,
		e.processCommit, e.processCommit, e.respondCommit, e.respondCommit, e.loseResponse, e.rejectCommit,
		e.respondLoad, e.respondLoad, e.respondLoad, e.failLoad,
		e.fireTimer, e.fireTimer, e.updateCutoff, e.exceedDeadline, e.crash,
	}
	steps[e.pick(len(steps))]()
}

// startAttempt starts the first request of a client or a retry of it.
func (e *env) startAttempt() {
	if len(e.attempts) >= maxAttempts {
		return
	}
	k := e.pick(keyCount)
	a := &attempt{key: k, subject: Subject{
		Key: Key{Account: "a", ID: fmt.Sprint(k), Stage: "s"}, Token: fmt.Sprint("t", len(e.attempts)),
		CreatedMS: int64(1000 * (k + 1)), Fingerprint: "f",
	}}
	e.attempts = append(e.attempts, a)
	e.submit(a, Create{a.subject})
}

// advanceAttempt performs the next step of the home of an attempt, which is the
// node that handles the request.
func (e *env) advanceAttempt() {
	if len(e.attempts) == 0 {
		return
	}
	a := e.attempts[e.pick(len(e.attempts))]
	switch a.phase {
	case creating:
		if e.pick(2) == 0 {
			e.submit(a, Create{a.subject}) // No response yet: retry with the same token at any node.
			return
		}
		a.setReport(e, MayHaveRunReported)
		e.submit(a, Withdraw{a.subject})
	case created:
		if e.pick(3) == 0 {
			a.phase = withdrawing
			e.submit(a, Withdraw{a.subject})
			return
		}
		e.dispatch(a)
	case withdrawing:
		e.submit(a, Withdraw{a.subject})
	case dispatched:
		e.submit(a, Complete{a.subject, []byte(a.subject.Token)})
	}
}

func (e *env) dispatch(a *attempt) {
	if e.runs[a.key] != "" || a.reported == NotRunReported {
		e.t.Fatalf("key %d dispatched by %s after %q, reported %v", a.key, a.subject.Token, e.runs[a.key], a.reported)
	}
	e.runs[a.key] = a.subject.Token
	a.phase = dispatched
}

// handleResponse processes a response at the home of an attempt. One in eight is
// lost.
func (e *env) handleResponse(r Respond) {
	call, ok := e.calls[r.ID]
	if !ok || e.pick(8) == 0 {
		delete(e.calls, r.ID)
		return
	}
	delete(e.calls, r.ID)
	a := call.attempt
	switch call.op.(type) {
	case Create:
		e.handleCreate(a, r)
	case Withdraw:
		if r.Err == nil && r.Decision.Outcome == WithdrawalConfirmed && a.phase == withdrawing {
			a.setReport(e, NotRunReported)
		}
	case Complete:
		if r.Err == nil && r.Decision.Outcome == Stored {
			a.stored = true
		}
	}
}

func (e *env) handleCreate(a *attempt, r Respond) {
	a.pendingCreates--
	if a.phase != creating {
		return
	}
	if r.Err != nil {
		if r.Err.Verdict == notRun && a.pendingCreates == 0 {
			a.setReport(e, NotRunReported)
		} else if r.Err.Verdict != notRun {
			a.pendingCreates++
		}
		return
	}
	switch r.Decision.Outcome {
	case Created:
		a.phase = created
	case Existing:
		e.checkResult(a, r.Decision)
		a.setReport(e, MayHaveRunReported)
	default:
		a.setReport(e, MayHaveRunReported)
	}
}

// checkResult compares a returned result with the result of the only run.
func (e *env) checkResult(a *attempt, d Decision) {
	if d.Record.State != Completed {
		return
	}
	result := d.Record.Result
	if d.PartKey != "" {
		result = e.resultIn(d.PartKey, d.Record.Key)
	}
	if result != nil && string(result) != e.runs[a.key] {
		e.t.Fatalf("key %d returned result %q, was run by %q", a.key, result, e.runs[a.key])
	}
}

// checkFinalState reads the journal from the store and checks the record of each
// attempt.
func (e *env) checkFinalState() {
	s := &Shard{}
	h, records := e.replay(s)
	for _, a := range e.attempts {
		record, found := records[a.subject.Key]
		if a.stored && found && string(record.Result) != e.runs[a.key] {
			e.t.Fatalf("key %d lost its stored result: %+v", a.key, record)
		}
		if a.stored && !found && a.subject.CreatedMS > h.FloorMS {
			e.t.Fatalf("key %d lost its record above the floor", a.key)
		}
		if a.reported == NotRunReported && found && record.State == Pending && record.Token == a.subject.Token {
			e.t.Fatalf("key %d was reported as not run and its record is pending", a.key)
		}
	}
}
