package order

import (
	"context"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Records returns the stored record of the last order to each target.
func (s *Service) Records(ctx context.Context) ([]Record, error) {
	response, err := s.Store.Range(ctx, ports.RangeRequest{Key: recordPrefix, Prefix: true})
	if err != nil {
		return nil, err
	}
	var records []Record
	for _, e := range response.Entries {
		r, err := decodeRecord(e)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// Abandon marks an open order as resolved. The operator has to make sure that
// its issuer will never send it. The fencing token must match the open order,
// so that no other order is abandoned by mistake; otherwise Abandon fails with
// fault.Conflict.
func (s *Service) Abandon(ctx context.Context, target string, fencingToken int64) error {
	r, err := readRecord(ctx, s.Store, target)
	if err != nil {
		return fault.From(err).WithVerdict(fault.NotRun)
	}
	if r.Phase != PhaseOpen || r.Command.FencingToken != fencingToken {
		return fault.New(fault.Conflict, fault.NotRun, "target %s has no open order %d", target, fencingToken)
	}
	replaced, err := r.replace(ctx, s.Store, r.withPhase(PhaseResolved))
	if err == nil && !replaced {
		return fault.New(fault.Conflict, fault.NotRun, "the order of target %s has changed", target)
	}
	return err
}
