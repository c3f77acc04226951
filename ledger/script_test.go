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

// play is a scripted test: steps over some ledgers and one store.
type play struct {
	Comment     string   `json:"comment"`
	Nodes       []string `json:"nodes"`
	RetentionMS int64    `json:"retention_ms"`
	Steps       []step   `json:"steps"`
}

// step is one line of a play. Want is compared with what the step reports.
type step struct {
	Do       string       `json:"do"`
	Node     string       `json:"node"`
	Claim    string       `json:"claim"`     // Name of a claim, or of the run in the background.
	ID       string       `json:"id"`        // Idempotency key.
	AgeMS    int64        `json:"age_ms"`    // Age of the idempotency key when it is first used.
	Input    string       `json:"input"`     // Fingerprint.
	WithinMS int64        `json:"within_ms"` // Deadline, 10 s if zero.
	MS       int64        `json:"ms"`
	Bytes    int          `json:"bytes"` // Length of a large result.
	Count    int          `json:"count"` // Orders of a fill step.
	Result   string       `json:"result"`
	Fault    *store.Fault `json:"fault"`
	Want     string       `json:"want"`
}

func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, p play) {
		synctest.Test(t, func(t *testing.T) { newStage(p).run(t, p) })
	})
}

type stage struct {
	memory *store.Memory
	faults *store.FaultInjector
	fleet  *fleet
	claims map[string]ledger.Claim
	born   map[string]time.Time // Creation times of the idempotency keys.
	open   map[string]chan told
}

func newStage(p play) *stage {
	limits := testLimits()
	if p.RetentionMS != 0 {
		limits.RetentionMS = p.RetentionMS
	}
	m := &store.Memory{}
	f := &store.FaultInjector{Store: m, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1)}
	return &stage{
		memory: m, faults: f, fleet: newFleet(f, limits, p.Nodes...),
		claims: map[string]ledger.Claim{}, born: map[string]time.Time{}, open: map[string]chan told{},
	}
}

func (g *stage) run(t *testing.T, p play) {
	defer g.fleet.close()
	time.Sleep(time.Second) // Every ledger knows the number of shards.
	for i, s := range p.Steps {
		got := g.do(s)
		if diff := cmp.Diff(s.Want, got); diff != "" {
			t.Errorf("step %d, %s %s%s (-want +got):\n%s", i, s.Do, s.Claim, s.ID, diff)
		}
	}
}

func (g *stage) do(s step) string {
	switch s.Do {
	case "start":
		g.open[s.Claim] = make(chan told, 1)
		g.born[s.ID] = time.Now()
		go g.runCreate(s, g.open[s.Claim])
		synctest.Wait()
		return ""
	case "await":
		return g.keep(s, <-g.open[s.Claim])
	case "fault":
		g.faults.Add(*s.Fault)
	case "clear":
		g.faults.Clear()
	case "release":
		return fmt.Sprint(g.faults.ApplyLateCommits(context.Background()))
	case "writer":
		g.fleet.setWriter(s.Node)
	case "cut", "join":
		g.fleet.setCut(s.Node, s.Do == "cut")
	case "kill":
		g.fleet.setCut(s.Node, true)
		_ = g.fleet.node(s.Node).Close()
	case "sleep":
		time.Sleep(time.Duration(s.MS) * time.Millisecond)
		synctest.Wait()
	case "wipe":
		wipe := ports.Txn{Then: []ports.Op{ports.Delete{Key: ledger.Prefix + "0/", Prefix: true}}}
		_, _ = g.memory.Commit(context.Background(), wipe)
	case "parts":
		return g.parts()
	default:
		return g.ask(s)
	}
	return ""
}

// fill creates and completes orders f0, f1 and so on.
func (g *stage) fill(s step) string {
	last := ""
	for i := range s.Count {
		id := fmt.Sprint("f", i)
		g.ask(step{Do: "create", Node: s.Node, Claim: id, ID: id})
		last = g.ask(step{Do: "complete", Node: s.Node, Claim: id, Bytes: s.Bytes})
	}
	return last
}

// told is what a create step reports, and its claim.
type told struct {
	text  string
	claim ledger.Claim
}

func (g *stage) runCreate(s step, done chan told) { done <- g.create(s) }

func (g *stage) keep(s step, t told) string {
	g.claims[s.Claim] = t.claim
	return t.text
}

// ask does a step that calls a ledger.
func (g *stage) ask(s step) string {
	ctx, stop := deadline(s)
	defer stop()
	node := g.fleet.node(s.Node)
	switch s.Do {
	case "fill":
		return g.fill(s)
	case "create":
		if _, ok := g.born[s.ID]; !ok {
			g.born[s.ID] = time.Now().Add(-time.Duration(s.AgeMS) * time.Millisecond)
		}
		return g.keep(s, g.create(s))
	case "history":
		return g.history(ctx, s)
	case "lookup":
		return describe(node.Lookup(ctx, key(s)))
	case "withdraw":
		return describeError(node.Withdraw(ctx, g.claims[s.Claim]))
	case "flush":
		return describeError(node.Flush(ctx))
	case "complete":
		result := []byte(s.Result)
		if s.Bytes > 0 {
			result = make([]byte, s.Bytes)
		}
		return describeError(node.Complete(ctx, g.claims[s.Claim], result))
	}
	return "unknown step"
}

func (g *stage) create(s step) told {
	ctx, stop := deadline(s)
	defer stop()
	request := ledger.Request{Key: key(s), Fingerprint: s.Input, CreatedAt: g.born[s.ID]}
	claim, err := g.fleet.node(s.Node).Create(ctx, request)
	if len(claim.Result) > 100 {
		return told{text: fmt.Sprintf("completed with %d bytes", len(claim.Result))}
	}
	return told{text: describe(claim, err), claim: claim}
}

// history lists the kept states of a key with the VM that held each.
func (g *stage) history(ctx context.Context, s step) string {
	history, err := ledger.ReadHistory(ctx, g.memory, key(s))
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

// parts counts the sealed parts and the results kept under keys of their own.
func (g *stage) parts() string {
	ctx := context.Background()
	parts, _ := g.memory.Range(ctx, ports.RangeRequest{Key: ledger.Prefix + "0/part/", Prefix: true})
	results, _ := g.memory.Range(ctx, ports.RangeRequest{Key: ledger.Prefix + "0/result/", Prefix: true})
	return fmt.Sprintf("%d parts, %d results", len(parts.Entries), len(results.Entries))
}

func key(s step) ledger.Key { return ledger.Key{Account: "toits_unis", ID: s.ID, Stage: "order"} }

func deadline(s step) (context.Context, context.CancelFunc) {
	within := s.WithinMS
	if within == 0 {
		within = 10_000
	}
	return context.WithTimeout(context.Background(), time.Duration(within)*time.Millisecond)
}

func describeError(err error) string {
	if err == nil {
		return "ok"
	}
	fe := fault.From(err)
	return fmt.Sprintf("%s %s", fe.Kind, fe.Verdict)
}
