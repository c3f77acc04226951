package ledger

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// runLoad returns the function that executes a [Load] and sends its result to
// the driver.
func (d *driver) runLoad(ctx context.Context, a Load) func() error {
	return func() error {
		group, readCtx := errgroup.WithContext(ctx)
		group.SetLimit(maxParallelReads)
		reads := make([]read, len(a.Ranges))
		for i, r := range a.Ranges {
			reads[i] = read{driver: d, request: r}
			group.Go(reads[i].runRead(readCtx))
		}
		e := LoadCompleted{Err: group.Wait()}
		for _, r := range reads {
			e.Entries = append(e.Entries, r.entries...)
		}
		d.service.count("ledger_loads_total", d.shard.Index).Inc()
		d.send(ctx, e)
		return nil
	}
}

// read is one range request of a [Load].
type read struct {
	driver  *driver
	request ports.RangeRequest
	entries []ports.KeyValue
}

// runRead returns the function that sends the request.
func (r *read) runRead(ctx context.Context) func() error {
	return func() error {
		response, err := r.driver.read(ctx, r.request)
		r.entries = response.Entries
		return err
	}
}

func (d *driver) read(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return d.service.Store.Range(ctx, request)
}

// runCommit returns the function that sends the transaction of a [Commit] once
// and sends its result to the driver.
func (d *driver) runCommit(ctx context.Context, a Commit) func() error {
	return func() error {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		response, err := d.service.Store.Commit(callCtx, a.Txn)
		e := commitCompleted(response, err)
		d.countCommit(a, e, err)
		d.send(ctx, e)
		return nil
	}
}

// commitCompleted returns the event for the response or error of a transaction.
func commitCompleted(response ports.TxnResponse, err error) CommitCompleted {
	var fe *fault.Error
	switch {
	case err == nil && response.Succeeded:
		return CommitCompleted{Result: Applied, Revision: response.Revision}
	case err == nil:
		return CommitCompleted{Result: Conflict}
	case errors.As(err, &fe) && fe.Verdict == fault.NotRun:
		return CommitCompleted{Result: Rejected}
	}
	return CommitCompleted{Result: Unknown}
}

// countCommit updates the metrics of an attempt and logs one that was not
// applied.
func (d *driver) countCommit(a Commit, e CommitCompleted, err error) {
	s := d.service
	s.count("ledger_commits_total", d.shard.Index).Inc()
	for _, op := range a.Txn.Then {
		if p, ok := op.(ports.Put); ok {
			s.count("ledger_written_bytes_total", d.shard.Index).Add(len(p.Value))
		}
	}
	if e.Result == Applied {
		return
	}
	s.count("ledger_commits_"+e.Result.String()+"_total", d.shard.Index).Inc()
	s.Log.WithError(err).WithField("shard", d.shard.Index).
		WithField("result", e.Result.String()).Debug("ledger commit attempt not applied")
}
