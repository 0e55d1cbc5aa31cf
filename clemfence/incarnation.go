// Package clemfence numbers the incarnations of a sidecar and gives its
// backend server orders under that number, so that a frozen older sidecar
// cannot undo the work of a newer one.
package clemfence

import (
	"context"
	"crypto/rand"
	"strconv"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

// Next takes the next incarnation of a backend server's sidecar by
// compare-and-set. Errors: KindUnavailable, KindUnknown; a number that was
// taken without its taker knowing is skipped.
func Next(ctx context.Context, table clementineturn.Table, server string) (uint64, error) {
	nonce := rand.Text()
	for {
		row, err := table.Get(ctx, rowKey(server))
		if err != nil && !clementineturn.IsKind(err, clementineturn.KindNotFound) {
			return 0, err
		}
		last, owner, err := parseRow(row)
		if err != nil {
			return 0, err
		}
		if owner == nonce {
			return last, nil
		}
		value := strconv.FormatUint(last+1, 10) + " " + nonce
		_, err = table.Put(ctx, rowKey(server), []byte(value), row.Version())
		switch {
		case err == nil:
			return last + 1, nil
		case clementineturn.IsKind(err, clementineturn.KindConflict), clementineturn.IsKind(err, clementineturn.KindUnknown):
			// The row tells who won, or that the write has had no effect yet.
		default:
			return 0, err
		}
	}
}

func rowKey(server string) string { return "incarnation/" + server }

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
