package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of random schedules. A long run sets
// -rapid.checks and -rapid.seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestRandomSchedules runs the shards of several nodes against a store whose
// answers are lost, late or old, with crashes, takeovers and repeats.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range worldSteps {
			w.step()
		}
		w.finish()
	})
}

// pick draws a number below n.
func (w *world) pick(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "n") }

func (w *world) step() {
	moves := []func(){
		w.startAttempt, w.advanceAttempt, w.advanceAttempt, w.advanceAttempt,
		w.takeCommit, w.takeCommit, w.answerCommit, w.answerCommit, w.loseAnswer, w.refuseCommit,
		w.answerLoad, w.answerLoad, w.answerLoad, w.failLoad,
		w.wake, w.wake, w.tick, w.expire, w.crash,
	}
	moves[w.pick(len(moves))]()
}

// startAttempt is the caller's first request or its repeat elsewhere.
func (w *world) startAttempt() {
	if len(w.attempts) >= maxAttempts {
		return
	}
	k := w.pick(worldKeys)
	a := &attempt{key: k, subject: Subject{
		Key: Key{Account: "a", ID: fmt.Sprint(k), Stage: "s"}, Token: fmt.Sprint("t", len(w.attempts)),
		CreatedMS: int64(1000 * (k + 1)), Fingerprint: "f",
	}}
	w.attempts = append(w.attempts, a)
	w.submit(a, Create{a.subject})
}

// advanceAttempt lets the home of an attempt take its next step.
func (w *world) advanceAttempt() {
	if len(w.attempts) == 0 {
		return
	}
	a := w.attempts[w.pick(len(w.attempts))]
	switch a.phase {
	case asking:
		if w.pick(2) == 0 {
			w.submit(a, Create{a.subject}) // No answer: the same token elsewhere.
			return
		}
		a.say(w, MayHaveRunSaid)
		w.submit(a, Withdraw{a.subject})
	case owning:
		if w.pick(3) == 0 {
			a.phase = withdrawing
			w.submit(a, Withdraw{a.subject})
			return
		}
		w.dispatch(a)
	case withdrawing:
		w.submit(a, Withdraw{a.subject})
	case dispatched:
		w.submit(a, Complete{a.subject, []byte(a.subject.Token)})
	}
}

func (w *world) dispatch(a *attempt) {
	if w.runs[a.key] != "" || a.said == NotRunSaid {
		w.t.Fatalf("key %d dispatched by %s after %q, said %v", a.key, a.subject.Token, w.runs[a.key], a.said)
	}
	w.runs[a.key] = a.subject.Token
	a.phase = dispatched
}

// take handles a reply to the home of an attempt; one in eight is lost.
func (w *world) take(r Respond) {
	call, ok := w.calls[r.ID]
	if !ok || w.pick(8) == 0 {
		delete(w.calls, r.ID)
		return
	}
	delete(w.calls, r.ID)
	a := call.attempt
	switch call.op.(type) {
	case Create:
		w.takeCreate(a, r)
	case Withdraw:
		if r.Err == nil && r.Decision.Outcome == WithdrawalConfirmed && a.phase == withdrawing {
			a.say(w, NotRunSaid)
		}
	case Complete:
		if r.Err == nil && r.Decision.Outcome == Stored {
			a.stored = true
		}
	}
}

func (w *world) takeCreate(a *attempt, r Respond) {
	a.open--
	if a.phase != asking {
		return
	}
	if r.Err != nil {
		if r.Err.Verdict == notRun && a.open == 0 {
			a.say(w, NotRunSaid)
		} else if r.Err.Verdict != notRun {
			a.open++
		}
		return
	}
	switch r.Decision.Outcome {
	case Created:
		a.phase = owning
	case Existing:
		w.checkResult(a, r.Decision)
		a.say(w, MayHaveRunSaid)
	default:
		a.say(w, MayHaveRunSaid)
	}
}

// checkResult compares a returned result with the one of the only run.
func (w *world) checkResult(a *attempt, answer Decision) {
	if answer.Record.State != Completed {
		return
	}
	result := answer.Record.Result
	if answer.PartKey != "" {
		result = w.resultIn(answer.PartKey, answer.Record.Key)
	}
	if result != nil && string(result) != w.runs[a.key] {
		w.t.Fatalf("key %d returned %q, ran %q", a.key, result, w.runs[a.key])
	}
}

// finish heals everything and asks what the ledger knows of each key.
func (w *world) finish() {
	s := &Shard{}
	h, records := w.replay(s)
	for _, a := range w.attempts {
		record, found := records[a.subject.Key]
		if a.stored && found && string(record.Result) != w.runs[a.key] {
			w.t.Fatalf("key %d lost its stored result: %+v", a.key, record)
		}
		if a.stored && !found && a.subject.CreatedMS > h.FloorMS {
			w.t.Fatalf("key %d lost its record above the floor", a.key)
		}
		if a.said == NotRunSaid && found && record.State == Pending && record.Token == a.subject.Token {
			w.t.Fatalf("key %d was refused as not run and is recorded", a.key)
		}
	}
}
