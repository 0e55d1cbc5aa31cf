// Package clemfence numbers the incarnations of a sidecar and gives its
// backend server orders under that number, so that a suspended older sidecar
// cannot undo the work of a newer one.
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

// settlePause is the mean pause before a write without a known outcome is settled.
const settlePause = 50 * time.Millisecond

// Next takes the next incarnation of a backend server's sidecar by
// compare-and-set. Each number is taken once; one that was taken without its
// taker learning of it is skipped. Errors: KindUnavailable if the table cannot
// be reached or the context ends first, KindInternal if the row is malformed.
func Next(ctx context.Context, table clementineturn.Table, server string) (uint64, error) {
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
			// The row tells who won; it was this call if an earlier write took effect late.
		case clementineturn.IsKind(err, clementineturn.KindUnknown):
			// Writes again on the same version: at most one of the two takes effect.
			if !pausing(ctx, nil, jitter(settlePause)) {
				return 0, clementineturn.Errorf(clementineturn.KindUnavailable, "incarnation of %s: %w", server, ctx.Err())
			}
		default:
			return 0, err
		}
	}
}

// Current returns the newest incarnation that was taken, or 0 if there is
// none. Errors: KindUnavailable, KindInternal.
func Current(ctx context.Context, table clementineturn.Table, server string) (uint64, error) {
	row, err := table.Get(ctx, rowKey(server))
	if err != nil && !clementineturn.IsKind(err, clementineturn.KindNotFound) {
		return 0, err
	}
	last, _, err := parseRow(row)
	return last, err
}

func rowKey(server string) string { return "incarnation/" + server }

// parseRow returns the number of a row's value, and the nonce of its taker.
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

// jitter returns a random time between half and one and a half of the given one.
func jitter(mean time.Duration) time.Duration { return mean/2 + mathrand.N(mean) }

// pausing waits for the pause and reports whether it passed before the context
// ended and before changed was closed.
func pausing(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	timer := time.NewTimer(pause)
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
