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
	ledgerPollInterval = 100 * time.Millisecond
	completeTimeout    = 30 * time.Second // Bounds the retries of recording one result.
	withdrawTimeout    = 2 * time.Second
)

// findRecorded looks up the result of the last non-idempotent stage that the
// ledger has recorded for the same input. It returns the index of the first stage
// that has yet to run and the output of the stage before it, or 0 and nil if no
// result is recorded. A lookup that fails counts as no record. If it finds any
// record, with or without a result, the run is marked as one that may have run.
func (r *run) findRecorded() (int, json.RawMessage) {
	for i := len(r.pipeline.Stages) - 1; i >= 0; i-- {
		if r.pipeline.Stages[i].Idempotent {
			continue
		}
		ctx, cancel := r.withDeadline()
		record, err := r.service.Ledger.Lookup(ctx, r.ledgerKey(i))
		cancel()
		if err != nil {
			continue
		}
		r.setMayHaveRun()
		if record.State != ledger.Completed || record.Fingerprint != r.fingerprintText() {
			continue
		}
		r.reportRecorded(i)
		return i + 1, record.Result
	}
	return 0, nil
}

// reportRecorded adds a report that the result of a stage comes from the ledger.
// It marks the run as one that may have run and that is not canceled.
func (r *run) reportRecorded(index int) {
	stage := r.pipeline.Stages[index]
	r.setMayHaveRun()
	r.setUncancelable()
	r.addReport(StageReport{Stage: stage.Name, Service: stage.Service, Recorded: true})
}

func (r *run) ledgerKey(index int) ledger.Key {
	return ledger.Key{Account: r.request.Account, ID: r.request.Key, Stage: r.request.Pipeline + "/" + r.pipeline.Stages[index].Name}
}

func (r *run) fingerprintText() string {
	return strconv.FormatUint(r.request.Fingerprint, 16)
}

func (r *run) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.ctx, r.currentDeadline().Sub(r.service.Clock.Now()))
}

// runOnce runs a non-idempotent stage at most once. Only the run that created
// the ledger record, and whose token it carries, dispatches the stage.
func (g *stageRun) runOnce() (json.RawMessage, error) {
	r := g.run
	ctx, cancel := r.withDeadline()
	defer cancel()
	claim, err := r.service.Ledger.Create(ctx, ledger.Request{
		Key: r.ledgerKey(g.index), CreatedAt: r.request.KeyCreatedAt, Fingerprint: r.fingerprintText(),
	})
	if err != nil {
		return nil, err
	}
	if !claim.Created {
		return g.awaitRecorded(ctx, claim)
	}
	r.setUncancelable()
	output, err := g.runWithRetries()
	if err == nil {
		g.completeAsync(claim, output)
		return output, nil
	}
	if fault.VerdictOf(err) != fault.NotRun {
		return nil, err
	}
	return nil, g.withdraw(claim, err)
}

// awaitRecorded polls a record that another run created until it has a result,
// and returns the result. It fails with fault.Duplicate at the deadline, and with
// fault.Busy if there is no such record any more because the other run has
// withdrawn it. Other errors of the lookup are retried.
func (g *stageRun) awaitRecorded(ctx context.Context, record ledger.Claim) (json.RawMessage, error) {
	r := g.run
	for record.State == ledger.Pending {
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.Duplicate, fault.MayHaveRun, "stage %s is recorded by another run and has no result", g.stage.Name)
		case <-r.service.Clock.After(ledgerPollInterval):
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
	r.reportRecorded(g.index)
	return record.Result, nil
}

// withdraw withdraws the record of a call that was not dispatched. It returns
// cause, with the verdict MayHaveRun if the withdrawal was not confirmed.
func (g *stageRun) withdraw(claim ledger.Claim, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.run.ctx), withdrawTimeout)
	defer cancel()
	if err := g.run.service.Ledger.Withdraw(ctx, claim); err != nil {
		return fault.From(cause).WithVerdict(fault.MayHaveRun)
	}
	return cause
}

// completion records the result of a non-idempotent stage in the ledger.
type completion struct {
	service *Service
	claim   ledger.Claim
	output  json.RawMessage
}

func (g *stageRun) completeAsync(claim ledger.Claim, output json.RawMessage) {
	c := &completion{service: g.run.service, claim: claim, output: output}
	c.service.inFlight.Add()
	go c.run()
}

// run records the result while the later stages run.
func (c *completion) run() {
	defer c.service.inFlight.Done()
	ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
	defer cancel()
	if err := c.service.Ledger.Complete(ctx, c.claim, c.output); err != nil {
		c.service.Metrics.GetOrCreateCounter("flow_results_not_recorded_total").Inc()
		c.service.Log.WithFields(map[string]any{"ledger_stage": c.claim.Key.Stage, "error": err.Error()}).Warn("result not recorded")
	}
}
