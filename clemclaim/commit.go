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
	// raceTries bounds how often a batch is decided anew after a lost race.
	raceTries = 32
	// settleTries bounds how often a write without a known outcome is settled
	// or repeated before its callers get an error.
	settleTries = 6
	// settlePause is the mean pause before the second of these; it doubles.
	settlePause = 20 * time.Millisecond
	// failureReport is the least time between two reports of one bucket's failures.
	failureReport = 10 * time.Second
)

// commit carries out the operations with one write, and answers them. After a
// lost race or a lost answer it reads the log and decides anew: operations
// whose records are in the log find themselves there, and the others are
// written again. The new write is conditional on the same version as the one
// whose answer was lost, so at most one of the two takes effect. It reports
// whether there was a write.
func (g *log) commit(ctx context.Context, ops []*operation) (wrote bool) {
	pause := settlePause
	failures := 0
	g.fresh, g.wrote = false, false
	for try := 0; try < raceTries; try++ {
		rest, err := g.try(ctx, ops)
		if len(rest) == 0 {
			return g.wrote
		}
		ops = rest
		if err == nil || clementineturn.IsKind(err, clementineturn.KindConflict) {
			continue
		}
		failures++
		if failures == settleTries || ctx.Err() != nil || !settles(err, ops) {
			g.fail(ops, err)
			return g.wrote
		}
		wait(ctx, pause/2+rand.N(pause))
		pause *= 2
	}
	g.fail(ops, clementineturn.Errorf(clementineturn.KindConflict, "%d races for bucket %d were lost", raceTries, g.bucket))
	return g.wrote
}

// settles reports whether another try is of use: only if a write may still take effect.
func settles(err error, ops []*operation) bool {
	if clementineturn.IsKind(err, clementineturn.KindUnknown) {
		return true
	}
	for _, op := range ops {
		if op.maybe {
			return true
		}
	}
	return false
}

func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fail ends the operations. A log that keeps failing is reported from time to time.
func (g *log) fail(ops []*operation, err error) {
	if now := time.Now(); now.Sub(g.failed) >= failureReport {
		g.failed = now
		g.config.Events.Emit(clemevent.ClaimWriteFailed, bucketField(g.bucket), zap.Int("operations", len(ops)), zap.Error(err))
	}
	for _, op := range ops {
		op.fail(err)
	}
}

// try plans and writes once. It returns the operations that are still open.
// Answers without a write hold if the log was read since the commit began.
func (g *log) try(ctx context.Context, ops []*operation) ([]*operation, error) {
	if !g.loaded {
		if err := g.load(ctx); err != nil {
			return ops, err
		}
	}
	p := g.plan(ctx, ops)
	if len(p.records) > 0 {
		return g.write(ctx, p)
	}
	if !g.fresh {
		changed, err := g.refresh(ctx)
		if err != nil || changed {
			return ops, err
		}
	}
	p.answer()
	return nil, nil
}

// write appends what the plan asks for. If that fails it reads the log, so
// that the next plan rests on what took effect.
func (g *log) write(ctx context.Context, p *plan) ([]*operation, error) {
	g.wrote = true
	err := g.append(ctx, p.records)
	if err == nil {
		p.answer()
		return nil, nil
	}
	if clementineturn.IsKind(err, clementineturn.KindUnavailable) {
		return p.ops, err
	}
	if !clementineturn.IsKind(err, clementineturn.KindConflict) {
		p.unsettled()
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

// plan decides the operations of a batch one after the other.
type plan struct {
	log     *log
	ops     []*operation
	records []*clemwire.Record
	// writes holds the operations whose records are to be written.
	writes  []*operation
	changed map[id]*clemwire.Record
	answers []*clemwire.Record
	errs    []error
}

func (g *log) plan(ctx context.Context, ops []*operation) *plan {
	p := &plan{
		log: g, ops: ops, changed: map[id]*clemwire.Record{},
		answers: make([]*clemwire.Record, len(ops)), errs: make([]error, len(ops)),
	}
	for i, op := range ops {
		found, ok := p.changed[op.id]
		if !ok {
			found, p.errs[i] = g.find(ctx, op.id)
		}
		if p.errs[i] == nil {
			p.answers[i], p.errs[i] = p.decide(op, found)
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
		return p.claim(op, found), nil
	case found == nil:
		return nil, clementineturn.Errorf(clementineturn.KindNotFound, "no claim of key %q", claim.GetKey())
	case op.kind == opLookup:
		return found, nil
	}
	if err := follows(found, op.record); err != nil {
		return nil, err
	}
	if found.GetState() != op.record.GetState() {
		p.write(op)
	}
	return op.record, nil
}

func (p *plan) claim(op *operation, found *clemwire.Record) *clemwire.Record {
	free := found == nil || found.GetState() == stateVoid && found.GetClaim().GetToken() != op.record.GetClaim().GetToken()
	if !free {
		return found
	}
	p.write(op)
	return op.record
}

func (p *plan) write(op *operation) {
	p.records = append(p.records, op.record)
	p.writes = append(p.writes, op)
	p.changed[op.id] = op.record
}

// unsettled marks the operations whose write may still take effect.
func (p *plan) unsettled() {
	for _, op := range p.writes {
		op.maybe = true
	}
}

// answer ends the operations.
func (p *plan) answer() {
	for i, op := range p.ops {
		switch err := p.errs[i]; {
		case err == nil:
			op.finish(p.answers[i], nil)
		case clementineturn.IsKind(err, clementineturn.KindUnavailable):
			op.fail(err)
		default:
			op.finish(nil, err)
		}
	}
}
