package ledger

// proposal is the decision on an operation. If write is set, the decision is
// final only after the record has been written.
type proposal struct {
	decision Decision
	write    bool
	record   Record
}

// immediate returns a decision that needs no write.
func immediate(outcome Outcome, record Record) proposal {
	return proposal{decision: Decision{Outcome: outcome, Record: record}}
}

// afterWrite returns a decision that is final once the record is written.
func afterWrite(outcome Outcome, record Record) proposal {
	return proposal{decision: Decision{Outcome: outcome, Record: record}, write: true, record: record}
}

// decideWithoutWrite returns the decision on an operation. It reports false if
// the operation needs a write or the head must be read first. If the journal has to
// be read again for the decision, it marks the waiter for a reload.
func (s *Shard) decideWithoutWrite(w *waiter) (Decision, bool) {
	if !s.journal.loaded || w.reload {
		return Decision{}, false
	}
	p := s.decide(w.op, 0) // The time is only used in records that are written.
	if p.write {
		return Decision{}, false
	}
	if !w.reloaded && s.needsReload(w.op, p.decision) {
		w.reload = true
		return Decision{}, false
	}
	return s.journal.withPartKey(s.Index, p.decision), true
}

// needsReload reports whether a decision without a write could change if the
// journal has been written by another node since it was read.
func (s *Shard) needsReload(op Op, d Decision) bool {
	switch op.(type) {
	case Complete:
		return d.Outcome != Stored
	case Create:
		return d.Outcome == Existing && d.Record.State == Pending && s.shouldReread()
	case Lookup:
		return d.Record.State != Completed && s.shouldReread()
	}
	return false
}

// shouldReread reports whether the journal was last verified more than
// maxStaleness ago. While calls to the store fail, the journal is used as it is,
// since a read would only wait.
func (s *Shard) shouldReread() bool {
	return s.failures == 0 && s.now.Sub(s.verifiedAt) > maxStaleness
}

// decide evaluates an operation against the journal as it was last read or
// written. A decision with a write is final only once its compare-and-swap is
// applied. Decisions on Create and Withdraw without a write remain valid if
// another node has written the journal since: the call of a pending record may have
// run, a completed record stays completed, and the floor never decreases. A record
// reported as pending may have been completed, however; see needsReload.
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
		return immediate(Absent, Record{})
	}
	return immediate(Existing, record)
}

func (s *Shard) decideCreate(c Create, record Record, found bool, nowMS int64) proposal {
	if found && record.Revoked(c.Token) {
		return immediate(Revoked, record)
	}
	if found && record.State != Withdrawn {
		return decideExisting(c, record)
	}
	if c.CreatedMS <= s.journal.head.FloorMS {
		return immediate(TooOld, Record{})
	}
	created := c.record(Pending, nowMS)
	if found {
		created.RevokedTokens = record.WithRevokedToken(record.Token).RevokedTokens
	}
	return afterWrite(Created, created)
}

func decideExisting(c Create, record Record) proposal {
	switch {
	case record.Token == c.Token:
		return immediate(Created, record)
	case record.Fingerprint != c.Fingerprint:
		return immediate(FingerprintMismatch, record)
	}
	return immediate(Existing, record)
}

// decideComplete proposes to record the result even if no record is found: the
// node may have read an old journal, and then the compare-and-swap fails.
func (s *Shard) decideComplete(c Complete, record Record, found bool, nowMS int64) proposal {
	if !found && c.CreatedMS <= s.journal.head.FloorMS {
		return immediate(TooOld, Record{})
	}
	if found && record.Token != c.Token {
		return immediate(Superseded, record)
	}
	if found && record.State == Withdrawn {
		return immediate(Revoked, record)
	}
	if found && record.State == Completed {
		return immediate(Stored, record)
	}
	completed := c.record(Completed, nowMS)
	completed.RevokedTokens = record.RevokedTokens
	if len(c.Result) > maxInlineBytes {
		return afterWrite(Stored, completed.WithResult(nil, resultKey(s.Index, c.Token)))
	}
	return afterWrite(Stored, completed.WithResult(c.Result, ""))
}

// decideWithdraw proposes to revoke the token, even if no record is found or the
// record belongs to another run, so that a delayed [Create] with this token is
// rejected. Only the write confirms that the record read is the current one.
func (s *Shard) decideWithdraw(w Withdraw, record Record, found bool, nowMS int64) proposal {
	switch {
	case !found && w.CreatedMS <= s.journal.head.FloorMS:
		return immediate(WithdrawalConfirmed, Record{})
	case !found:
		return afterWrite(WithdrawalConfirmed, w.record(Withdrawn, nowMS))
	case record.Revoked(w.Token), record.Token != w.Token && record.State == Completed:
		return immediate(WithdrawalConfirmed, record)
	case record.Token != w.Token && record.State == Pending:
		return afterWrite(WithdrawalConfirmed, record.WithRevokedToken(w.Token))
	case record.Token == w.Token && record.State == Completed:
		return immediate(AlreadyCompleted, record)
	}
	withdrawn := w.record(Withdrawn, nowMS)
	withdrawn.RevokedTokens = record.RevokedTokens
	if record.Token != w.Token {
		withdrawn.RevokedTokens = record.WithRevokedToken(record.Token).RevokedTokens
	}
	return afterWrite(WithdrawalConfirmed, withdrawn)
}
