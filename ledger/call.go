package ledger

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// runLoad returns the function that makes the calls of a [Load].
func (d *driver) runLoad(ctx context.Context, a Load) func() error {
	return func() error {
		group, readCtx := errgroup.WithContext(ctx)
		group.SetLimit(maxReadParallel)
		reads := make([]read, len(a.Ranges))
		for i, r := range a.Ranges {
			reads[i] = read{driver: d, request: r}
			group.Go(reads[i].runRead(readCtx))
		}
		e := LoadCompleted{Err: group.Wait()}
		for _, r := range reads {
			e.Entries = append(e.Entries, r.found...)
		}
		d.service.count("ledger_loads_total", d.shard.Index).Inc()
		d.post(ctx, e)
		return nil
	}
}

// read is one call of a [Load].
type read struct {
	driver  *driver
	request ports.RangeRequest
	found   []ports.KeyValue
}

// runRead returns the function that makes the call.
func (r *read) runRead(ctx context.Context) func() error {
	return func() error {
		answer, err := r.driver.read(ctx, r.request)
		r.found = answer.Entries
		return err
	}
}

func (d *driver) read(ctx context.Context, request ports.RangeRequest) (ports.RangeResponse, error) {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	return d.service.Store.Range(ctx, request)
}

// runCommit returns the function that sends the transaction of a [Commit].
func (d *driver) runCommit(ctx context.Context, a Commit) func() error {
	return func() error {
		callCtx, stop := context.WithTimeout(ctx, storeTimeout)
		defer stop()
		answer, err := d.service.Store.Commit(callCtx, a.Txn)
		e := committed(answer, err)
		d.record(a, e, err)
		d.post(ctx, e)
		return nil
	}
}

func committed(answer ports.TxnResponse, err error) CommitCompleted {
	var fe *fault.Error
	switch {
	case err == nil && answer.Succeeded:
		return CommitCompleted{Result: Applied, Revision: answer.Revision}
	case err == nil:
		return CommitCompleted{Result: Conflict}
	case errors.As(err, &fe) && fe.Verdict == fault.NotRun:
		return CommitCompleted{Result: Refused}
	}
	return CommitCompleted{Result: Unknown}
}

func (d *driver) record(a Commit, e CommitCompleted, err error) {
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
		WithField("result", e.Result.String()).Debug("ledger commit not applied")
}
