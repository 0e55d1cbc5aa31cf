// Package clemfence assigns incarnation numbers to sidecars and uses them as
// fencing tokens in orders, the commands that make a backend server load a model
// version and adapters. A sidecar that was suspended and superseded therefore
// cannot undo the orders of its successor. The package is not on the path of
// requests.
package clemfence

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"strconv"
	"strings"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

// unknownOutcomeDelay is the mean delay before a write with an unknown outcome
// is repeated.
const unknownOutcomeDelay = 50 * time.Millisecond

// NextIncarnation acquires the next incarnation number of a backend server's
// sidecar by compare-and-set. No number is returned twice; numbers may be
// skipped if a write takes effect without its caller learning of it. Errors:
// KindUnavailable if the table cannot be reached or the context ends first,
// KindInternal if the row is malformed.
func NextIncarnation(ctx context.Context, table clementineturn.Table, server string) (uint64, error) {
	nonce := rand.Text()
	for {
		row, err := table.Get(ctx, rowKey(server))
		if err != nil && !clementineturn.IsKind(err, clementineturn.KindNotFound) {
			return 0, err
		}
		last, owner, err := parseRow(row)
		if err != nil || owner == nonce {
			return last, err
		}
		value := strconv.FormatUint(last+1, 10) + " " + nonce
		_, err = table.Put(ctx, rowKey(server), []byte(value), row.Version())
		switch {
		case err == nil:
			return last + 1, nil
		case clementineturn.IsKind(err, clementineturn.KindConflict):
			// The next read shows whose write took effect. It may be an earlier
			// write of this call that took effect late.
		case clementineturn.IsKind(err, clementineturn.KindUnknown):
			// Reads again and, if the row has not changed, repeats the write
			// with the same version: at most one of the two takes effect.
			if !sleep(ctx, nil, jitter(unknownOutcomeDelay)) {
				return 0, clementineturn.Errorf(clementineturn.KindUnavailable, "incarnation of %s: %w", server, ctx.Err())
			}
		default:
			return 0, err
		}
	}
}

// CurrentIncarnation returns the latest incarnation number of a backend server's
// sidecar, or 0 if there is none. Errors: KindUnavailable, KindInternal.
func CurrentIncarnation(ctx context.Context, table clementineturn.Table, server string) (uint64, error) {
	row, err := table.Get(ctx, rowKey(server))
	if err != nil && !clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return 0, err
	}
	last, _, err := parseRow(row)
	return last, err
}

func rowKey(server string) string { return "incarnation/" + server }

// parseRow returns the incarnation number in a row and the nonce of the call
// that acquired it.
func parseRow(row clementineturn.Row) (uint64, string, error) {
	if len(row.Value()) == 0 {
		return 0, "", nil
	}
	text, owner, _ := strings.Cut(string(row.Value()), " ")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, "", clementineturn.Errorf(clementineturn.KindInternal, "row %s: %w", row.Key(), err)
	}
	return n, owner, nil
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func jitter(mean time.Duration) time.Duration { return mean/2 + mathrand.N(mean) }

// sleep waits for the delay and returns true, or returns false as soon as the
// context ends or changed is closed.
func sleep(ctx context.Context, changed <-chan struct{}, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return false
	case <-ctx.Done():
		return false
	}
}
