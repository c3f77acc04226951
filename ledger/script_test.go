package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotworks/fault"
	"bergamotworks/ledger"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/store"
)

// scenario is a scripted test with steps on several ledgers and one store.
type scenario struct {
	Comment     string   `json:"comment"`
	Nodes       []string `json:"nodes"`
	RetentionMS int64    `json:"retention_ms"`
	Steps       []step   `json:"steps"`
}

// step is one step of a scenario. Want is compared with the text that it returns.
// A start step runs a create in the background, and an await step returns its
// result. A release step applies the commits that a fault has held back. A cut
// step isolates a node from the others, and a join step ends the isolation. A
// wipe step deletes the keys of shard 0 from the store.
type step struct {
	Do       string       `json:"do"`
	Node     string       `json:"node"`
	Claim    string       `json:"claim"`     // Name of the claim that a create step makes and later steps use.
	ID       string       `json:"id"`        // Idempotency key.
	AgeMS    int64        `json:"age_ms"`    // Age of the idempotency key when it is first used.
	Input    string       `json:"input"`     // Fingerprint of the input.
	WithinMS int64        `json:"within_ms"` // Timeout of the step; zero means 10 s.
	MS       int64        `json:"ms"`        // Duration of a sleep step.
	Bytes    int          `json:"bytes"`     // Length of a large result.
	Count    int          `json:"count"`     // Number of stage calls of a fill step.
	Result   string       `json:"result"`
	Fault    *store.Fault `json:"fault"`
	Want     string       `json:"want"`
}

func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, s scenario) {
		synctest.Test(t, func(t *testing.T) { newEnv(s).run(t, s) })
	})
}

type env struct {
	memory     *store.Memory
	faults     *store.FaultInjector
	fleet      *fleet
	claims     map[string]ledger.Claim
	createdAt  map[string]time.Time // Creation times of the idempotency keys.
	background map[string]chan createResult
}

func newEnv(s scenario) *env {
	limits := testLimits()
	if s.RetentionMS != 0 {
		limits.RetentionMS = s.RetentionMS
	}
	m := &store.Memory{}
	f := &store.FaultInjector{Store: m, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1)}
	return &env{
		memory: m, faults: f, fleet: newFleet(f, limits, s.Nodes...),
		claims: map[string]ledger.Claim{}, createdAt: map[string]time.Time{}, background: map[string]chan createResult{},
	}
}

func (e *env) run(t *testing.T, s scenario) {
	defer e.fleet.close()
	time.Sleep(time.Second) // Every ledger has read the number of shards.
	for i, s := range s.Steps {
		got := e.do(s)
		if diff := cmp.Diff(s.Want, got); diff != "" {
			t.Errorf("step %d, %s %s%s (-want +got):\n%s", i, s.Do, s.Claim, s.ID, diff)
		}
	}
}

func (e *env) do(s step) string {
	switch s.Do {
	case "start":
		e.background[s.Claim] = make(chan createResult, 1)
		e.createdAt[s.ID] = time.Now()
		go e.runCreate(s, e.background[s.Claim])
		synctest.Wait()
		return ""
	case "await":
		return e.keepClaim(s, <-e.background[s.Claim])
	case "fault":
		e.faults.Add(*s.Fault)
	case "clear":
		e.faults.Clear()
	case "release":
		return fmt.Sprint(e.faults.ApplyLateCommits(context.Background()))
	case "writer":
		e.fleet.setWriter(s.Node)
	case "cut", "join":
		e.fleet.setIsolated(s.Node, s.Do == "cut")
	case "kill":
		e.fleet.setIsolated(s.Node, true)
		_ = e.fleet.node(s.Node).Close()
	case "sleep":
		time.Sleep(time.Duration(s.MS) * time.Millisecond)
		synctest.Wait()
	case "wipe":
		wipe := ports.Txn{Then: []ports.Op{ports.Delete{Key: ledger.Prefix + "0/", Prefix: true}}}
		_, _ = e.memory.Commit(context.Background(), wipe)
	case "parts":
		return e.parts()
	default:
		return e.call(s)
	}
	return ""
}

// fill creates and completes the claims f0, f1 and so on.
func (e *env) fill(s step) string {
	last := ""
	for i := range s.Count {
		id := fmt.Sprint("f", i)
		e.call(step{Do: "create", Node: s.Node, Claim: id, ID: id})
		last = e.call(step{Do: "complete", Node: s.Node, Claim: id, Bytes: s.Bytes})
	}
	return last
}

// createResult is the text of a create step and its claim.
type createResult struct {
	text  string
	claim ledger.Claim
}

func (e *env) runCreate(s step, done chan createResult) { done <- e.create(s) }

func (e *env) keepClaim(s step, r createResult) string {
	e.claims[s.Claim] = r.claim
	return r.text
}

// call performs a step that calls a ledger.
func (e *env) call(s step) string {
	ctx, cancel := deadline(s)
	defer cancel()
	node := e.fleet.node(s.Node)
	switch s.Do {
	case "fill":
		return e.fill(s)
	case "create":
		if _, ok := e.createdAt[s.ID]; !ok {
			e.createdAt[s.ID] = time.Now().Add(-time.Duration(s.AgeMS) * time.Millisecond)
		}
		return e.keepClaim(s, e.create(s))
	case "history":
		return e.history(ctx, s)
	case "lookup":
		return describe(node.Lookup(ctx, key(s)))
	case "withdraw":
		return describeError(node.Withdraw(ctx, e.claims[s.Claim]))
	case "flush":
		return describeError(node.Flush(ctx))
	case "complete":
		result := []byte(s.Result)
		if s.Bytes > 0 {
			result = make([]byte, s.Bytes)
		}
		return describeError(node.Complete(ctx, e.claims[s.Claim], result))
	}
	return "unknown step"
}

func (e *env) create(s step) createResult {
	ctx, cancel := deadline(s)
	defer cancel()
	request := ledger.Request{Key: key(s), Fingerprint: s.Input, CreatedAt: e.createdAt[s.ID]}
	claim, err := e.fleet.node(s.Node).Create(ctx, request)
	if len(claim.Result) > 100 {
		return createResult{text: fmt.Sprintf("completed with %d bytes", len(claim.Result))}
	}
	return createResult{text: describe(claim, err), claim: claim}
}

// history lists the stored states of a key, each with the VM of its token.
func (e *env) history(ctx context.Context, s step) string {
	history, err := ledger.ReadHistory(ctx, e.memory, key(s))
	if err != nil {
		return describeError(err)
	}
	var states []string
	for _, r := range history.States {
		vm, _, _ := strings.Cut(r.Token, "/")
		states = append(states, fmt.Sprintf("%s by %s", r.State, vm))
	}
	return strings.Join(states, ", ")
}

// parts counts the sealed parts and the results that have their own store keys.
func (e *env) parts() string {
	ctx := context.Background()
	parts, _ := e.memory.Range(ctx, ports.RangeRequest{Key: ledger.Prefix + "0/part/", Prefix: true})
	results, _ := e.memory.Range(ctx, ports.RangeRequest{Key: ledger.Prefix + "0/result/", Prefix: true})
	return fmt.Sprintf("%d parts, %d results", len(parts.Entries), len(results.Entries))
}

func key(s step) ledger.Key { return ledger.Key{Account: "toits_unis", ID: s.ID, Stage: "order"} }

func deadline(s step) (context.Context, context.CancelFunc) {
	timeoutMS := s.WithinMS
	if timeoutMS == 0 {
		timeoutMS = 10_000
	}
	return context.WithTimeout(context.Background(), time.Duration(timeoutMS)*time.Millisecond)
}

func describeError(err error) string {
	if err == nil {
		return "ok"
	}
	fe := fault.From(err)
	return fmt.Sprintf("%s %s", fe.Kind, fe.Verdict)
}
