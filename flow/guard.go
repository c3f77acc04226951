package flow

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"bergamotworks/fault"
	"bergamotworks/ledger"
)

const (
	lookupInterval = 100 * time.Millisecond
	completeLimit  = 30 * time.Second // Time in which a result is recorded.
	withdrawLimit  = 2 * time.Second
)

// recorded looks for the result of a stage that is not idempotent. It returns
// the index of the first stage that has yet to run, and the output before it. A
// record without a result leaves the request in doubt.
func (r *run) recorded() (int, json.RawMessage) {
	for i := len(r.pipeline.Stages) - 1; i >= 0; i-- {
		if r.pipeline.Stages[i].Idempotent {
			continue
		}
		ctx, cancel := r.timeLimit()
		record, err := r.service.Ledger.Lookup(ctx, r.ledgerKey(i))
		cancel()
		if err != nil {
			continue
		}
		r.touch()
		if record.State != ledger.Completed || record.Fingerprint != r.fingerprint() {
			continue
		}
		r.reuse(i)
		return i + 1, record.Result
	}
	return 0, nil
}

// reuse notes that the result of a stage comes from the ledger.
func (r *run) reuse(index int) {
	stage := r.pipeline.Stages[index]
	r.touch()
	r.bind()
	r.report(StageReport{Stage: stage.Name, Service: stage.Service, Recorded: true})
}

func (r *run) ledgerKey(index int) ledger.Key {
	return ledger.Key{Account: r.request.Account, ID: r.request.Key, Stage: r.request.Pipeline + "/" + r.pipeline.Stages[index].Name}
}

func (r *run) fingerprint() string {
	return strconv.FormatUint(r.request.Fingerprint, 16)
}

func (r *run) timeLimit() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.ctx, r.limit().Sub(r.service.Clock.Now()))
}

// guarded runs a stage that is not idempotent. Only the run whose token the
// record carries dispatches it.
func (g *stageRun) guarded() (json.RawMessage, error) {
	r := g.run
	ctx, cancel := r.timeLimit()
	defer cancel()
	claim, err := r.service.Ledger.Create(ctx, ledger.Request{
		Key: r.ledgerKey(g.index), CreatedAt: r.request.KeyCreatedAt, Fingerprint: r.fingerprint(),
	})
	if err != nil {
		return nil, err
	}
	if !claim.Created {
		return g.existing(ctx, claim)
	}
	r.bind()
	output, err := g.attempts()
	if err == nil {
		g.complete(claim, output)
		return output, nil
	}
	if fault.VerdictOf(err) != fault.NotRun {
		return nil, err
	}
	return nil, g.withdraw(claim, err)
}

// existing answers from a record that another run created.
func (g *stageRun) existing(ctx context.Context, record ledger.Claim) (json.RawMessage, error) {
	r := g.run
	for record.State == ledger.Pending {
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.Duplicate, fault.MayHaveRun, "stage %s is recorded by another run and has no result", g.stage.Name)
		case <-r.service.Clock.After(lookupInterval):
		}
		next, err := r.service.Ledger.Lookup(ctx, record.Key)
		if err == nil {
			record = next
			continue
		}
		if fault.From(err).Kind == fault.NotFound {
			return nil, fault.New(fault.Busy, fault.MayHaveRun, "the run that had recorded stage %s withdrew it", g.stage.Name)
		}
	}
	r.reuse(g.index)
	return record.Result, nil
}

// withdraw takes back a record whose call was not dispatched. The error says
// "not run" only if the record is gone.
func (g *stageRun) withdraw(claim ledger.Claim, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.run.ctx), withdrawLimit)
	defer cancel()
	if err := g.run.service.Ledger.Withdraw(ctx, claim); err != nil {
		return fault.From(cause).WithVerdict(fault.MayHaveRun)
	}
	return cause
}

// completion records the result of a stage.
type completion struct {
	service *Service
	claim   ledger.Claim
	output  json.RawMessage
}

func (g *stageRun) complete(claim ledger.Claim, output json.RawMessage) {
	c := &completion{service: g.run.service, claim: claim, output: output}
	c.service.running.Add()
	go c.run()
}

// run records the result beside the rest of the request.
func (c *completion) run() {
	defer c.service.running.Done()
	ctx, cancel := context.WithTimeout(context.Background(), completeLimit)
	defer cancel()
	if err := c.service.Ledger.Complete(ctx, c.claim, c.output); err != nil {
		c.service.Metrics.GetOrCreateCounter("flow_results_not_recorded_total").Inc()
		c.service.Log.WithFields(map[string]any{"ledger_stage": c.claim.Key.Stage, "error": err.Error()}).Warn("result not recorded")
	}
}
