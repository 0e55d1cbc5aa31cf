package clemclaim

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// maxCommitTries is the maximum number of tries for a batch: another ledger
	// may write first each time.
	maxCommitTries = 32
	// maxFailedTries is the number of tries that fail for another reason after
	// which the callers get an error. Only a batch whose write has an unknown
	// outcome is tried again at all.
	maxFailedTries = 6
	// commitRetryDelay is the mean delay after the first of these; it doubles.
	commitRetryDelay = 20 * time.Millisecond
	// failureReportInterval is the shortest time between two events that report
	// failures of one bucket.
	failureReportInterval = 10 * time.Second
)

// commit carries out the operations with one write and completes them. If
// another ledger wrote first, or the outcome of the write is unknown, it reads
// the log and plans again: records that are found in the log are not written
// again. If the log has not changed, the new write is conditional on the same
// version as the one whose outcome is unknown, so at most one of the two takes
// effect. It reports whether there was a write.
func (g *bucketLog) commit(ctx context.Context, ops []*operation) (wrote bool) {
	delay := commitRetryDelay
	failures := 0
	g.upToDate, g.hasWritten = false, false
	for try := 0; try < maxCommitTries; try++ {
		remaining, err := g.tryCommit(ctx, ops)
		if len(remaining) == 0 {
			return g.hasWritten
		}
		ops = remaining
		if err == nil || clementineturn.IsKind(err, clementineturn.KindConflict) {
			continue
		}
		failures++
		if failures == maxFailedTries || ctx.Err() != nil || !shouldRetry(err, ops) {
			g.fail(ops, err)
			return g.hasWritten
		}
		sleep(ctx, delay/2+rand.N(delay))
		delay *= 2
	}
	g.fail(ops, clementineturn.Errorf(clementineturn.KindConflict, "%d races for bucket %d were lost", maxCommitTries, g.bucket))
	return g.hasWritten
}

// shouldRetry reports whether the batch is tried again: only if a write has an
// unknown outcome, which a read of the log may settle.
func shouldRetry(err error, ops []*operation) bool {
	if clementineturn.IsKind(err, clementineturn.KindUnknown) {
		return true
	}
	for _, op := range ops {
		if op.mayBeWritten {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fail completes the operations with the error and reports it, at most once per
// failureReportInterval.
func (g *bucketLog) fail(ops []*operation, err error) {
	if now := time.Now(); now.Sub(g.lastFailureReport) >= failureReportInterval {
		g.lastFailureReport = now
		g.config.Events.Emit(clemevent.ClaimWriteFailed, bucketField(g.bucket), zap.Int("operations", len(ops)), zap.Error(err))
	}
	for _, op := range ops {
		op.fail(err)
	}
}

// tryCommit plans and writes once. It returns the operations that are not
// complete. Results that need no write are valid only if the log has been read
// to its end since the commit began.
func (g *bucketLog) tryCommit(ctx context.Context, ops []*operation) ([]*operation, error) {
	if !g.loaded {
		if err := g.load(ctx); err != nil {
			return ops, err
		}
	}
	p := g.planBatch(ctx, ops)
	if len(p.records) > 0 {
		return g.writePlan(ctx, p)
	}
	if !g.upToDate {
		changed, err := g.refresh(ctx)
		if err != nil || changed {
			return ops, err
		}
	}
	p.complete()
	return nil, nil
}

// writePlan appends the records of the plan. If that fails, it reads the log, so
// that the next plan is based on what took effect.
func (g *bucketLog) writePlan(ctx context.Context, p *plan) ([]*operation, error) {
	g.hasWritten = true
	err := g.appendRecords(ctx, p.records)
	if err == nil {
		p.complete()
		return nil, nil
	}
	if clementineturn.IsKind(err, clementineturn.KindUnavailable) {
		return p.ops, err
	}
	if !clementineturn.IsKind(err, clementineturn.KindConflict) {
		p.markMayBeWritten()
	}
	changed, readErr := g.refresh(ctx)
	if readErr != nil {
		return p.ops, readErr
	}
	if changed {
		return p.ops, nil
	}
	return p.ops, err
}

// plan holds the decisions on the operations of a batch, which are made one
// after the other.
type plan struct {
	log     *bucketLog
	ops     []*operation
	records []*clemwire.Record
	// writes holds the operations whose records are to be written, in the order
	// of records.
	writes []*operation
	// changed holds the planned records by claim.
	changed map[claimID]*clemwire.Record
	results []*clemwire.Record
	errs    []error
}

func (g *bucketLog) planBatch(ctx context.Context, ops []*operation) *plan {
	p := &plan{
		log: g, ops: ops, changed: map[claimID]*clemwire.Record{},
		results: make([]*clemwire.Record, len(ops)), errs: make([]error, len(ops)),
	}
	for i, op := range ops {
		found, ok := p.changed[op.id]
		if !ok {
			found, p.errs[i] = g.find(ctx, op.id)
		}
		if p.errs[i] == nil {
			p.results[i], p.errs[i] = p.decide(op, found)
		}
	}
	return p
}

func (p *plan) decide(op *operation, found *clemwire.Record) (*clemwire.Record, error) {
	claim := op.record.GetClaim()
	if found != nil && (found.GetClaim().GetOrganisation() != claim.GetOrganisation() || found.GetClaim().GetKey() != claim.GetKey()) {
		return nil, clementineturn.Refuse(clementineturn.KindInternal, "two keys share the digest %x", op.id)
	}
	switch {
	case op.kind == opClaim:
		return p.decideClaim(op, found), nil
	case found == nil:
		return nil, clementineturn.Errorf(clementineturn.KindNotFound, "no claim of key %q", claim.GetKey())
	case op.kind == opLookup:
		return found, nil
	}
	if err := checkTransition(found, op.record); err != nil {
		return nil, err
	}
	if found.GetState() != op.record.GetState() {
		p.addWrite(op)
	}
	return op.record, nil
}

func (p *plan) decideClaim(op *operation, found *clemwire.Record) *clemwire.Record {
	free := found == nil || found.GetState() == stateVoid && found.GetClaim().GetToken() != op.record.GetClaim().GetToken()
	if !free {
		return found
	}
	p.addWrite(op)
	return op.record
}

func (p *plan) addWrite(op *operation) {
	p.records = append(p.records, op.record)
	p.writes = append(p.writes, op)
	p.changed[op.id] = op.record
}

// markMayBeWritten marks the operations whose write has an unknown outcome.
func (p *plan) markMayBeWritten() {
	for _, op := range p.writes {
		op.mayBeWritten = true
	}
}

// complete completes the operations with the results of the plan.
func (p *plan) complete() {
	for i, op := range p.ops {
		switch err := p.errs[i]; {
		case err == nil:
			op.complete(p.results[i], nil)
		case clementineturn.IsKind(err, clementineturn.KindUnavailable):
			op.fail(err)
		default:
			op.complete(nil, err)
		}
	}
}
