package ledger

// proposal is what an operation leads to: an answer now, or a record to write
// and the answer once it is written.
type proposal struct {
	answer Decision
	write  bool
	record Record
}

func answered(outcome Outcome, record Record) proposal {
	return proposal{answer: Decision{Outcome: outcome, Record: record}}
}

func written(outcome Outcome, record Record) proposal {
	return proposal{answer: Decision{Outcome: outcome, Record: record}, write: true, record: record}
}

// answer returns the answer to a waiter if it can be given without a write.
func (s *Shard) answer(w *waiter) (Decision, bool) {
	if !s.journal.loaded || w.fresh {
		return Decision{}, false
	}
	d := s.decide(w.op, 0)
	if d.write {
		return Decision{}, false
	}
	if !w.checked && s.doubtful(w.op, d.answer) {
		w.fresh = true
		return Decision{}, false
	}
	return s.journal.locate(s.Index, d.answer), true
}

// doubtful reports whether an answer without a write could be better if the
// journal has moved on since it was read.
func (s *Shard) doubtful(op Op, a Decision) bool {
	switch op.(type) {
	case Complete:
		return a.Outcome != Stored
	case Create:
		return a.Outcome == Existing && a.Record.State == Pending && s.outdated()
	case Lookup:
		return a.Record.State != Completed && s.outdated()
	}
	return false
}

// outdated reports whether the journal was last seen long ago and can be read.
func (s *Shard) outdated() bool {
	return s.failures == 0 && s.now.Sub(s.seenAt) > seenPeriod
}

// decide judges an operation by the journal as it was read or written last.
// A decision to write is final only once its compare-and-swap is applied.
// The answers to Create and Withdraw without a write stay true if the journal
// has moved on: a record that was pending may have run, a completed one stays
// so, and the floor only rises.
func (s *Shard) decide(op Op, nowMS int64) proposal {
	record, found := s.journal.find(op.subject().Key)
	switch o := op.(type) {
	case Create:
		return s.decideCreate(o, record, found, nowMS)
	case Complete:
		return s.decideComplete(o, record, found, nowMS)
	case Withdraw:
		return s.decideWithdraw(o, record, found, nowMS)
	}
	if !found {
		return answered(Absent, Record{})
	}
	return answered(Existing, record)
}

func (s *Shard) decideCreate(c Create, record Record, found bool, nowMS int64) proposal {
	if found && record.Revoked(c.Token) {
		return answered(Revoked, record)
	}
	if found && record.State != Withdrawn {
		return existing(c, record)
	}
	if c.CreatedMS <= s.journal.head.FloorMS {
		return answered(TooOld, Record{})
	}
	created := c.record(Pending, nowMS)
	if found {
		created.RevokedTokens = record.WithRevokedToken(record.Token).RevokedTokens
	}
	return written(Created, created)
}

func existing(c Create, record Record) proposal {
	switch {
	case record.Token == c.Token:
		return answered(Created, record)
	case record.Fingerprint != c.Fingerprint:
		return answered(FingerprintMismatch, record)
	}
	return answered(Existing, record)
}

// decideComplete records a result also where no record is found: the writer
// may have read an old journal, and then its compare-and-swap fails.
func (s *Shard) decideComplete(c Complete, record Record, found bool, nowMS int64) proposal {
	if !found && c.CreatedMS <= s.journal.head.FloorMS {
		return answered(TooOld, Record{})
	}
	if found && record.Token != c.Token {
		return answered(Superseded, record)
	}
	if found && record.State == Withdrawn {
		return answered(Revoked, record)
	}
	if found && record.State == Completed {
		return answered(Stored, record)
	}
	completed := c.record(Completed, nowMS)
	completed.RevokedTokens = record.RevokedTokens
	if len(c.Result) > maxInlineBytes {
		return written(Stored, completed.WithResult(nil, resultKey(s.Index, c.Token)))
	}
	return written(Stored, completed.WithResult(c.Result, ""))
}

// decideWithdraw bars the token, also where no record is found or another run
// holds it, so that a delayed [Create] of the token is refused. Only the write
// confirms that the record read is the present one.
func (s *Shard) decideWithdraw(w Withdraw, record Record, found bool, nowMS int64) proposal {
	switch {
	case !found && w.CreatedMS <= s.journal.head.FloorMS:
		return answered(WithdrawalConfirmed, Record{})
	case !found:
		return written(WithdrawalConfirmed, w.record(Withdrawn, nowMS))
	case record.Revoked(w.Token), record.Token != w.Token && record.State == Completed:
		return answered(WithdrawalConfirmed, record)
	case record.Token != w.Token && record.State == Pending:
		return written(WithdrawalConfirmed, record.WithRevokedToken(w.Token))
	case record.Token == w.Token && record.State == Completed:
		return answered(AlreadyCompleted, record)
	}
	withdrawn := w.record(Withdrawn, nowMS)
	withdrawn.RevokedTokens = record.RevokedTokens
	if record.Token != w.Token {
		withdrawn.RevokedTokens = record.WithRevokedToken(record.Token).RevokedTokens
	}
	return written(WithdrawalConfirmed, withdrawn)
}
