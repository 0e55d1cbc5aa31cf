package clemplatform

import (
	"context"
	"net/http"

	clementineturn "github.com/clementineturn/clementineturn"
)

// table implements clementineturn.Table.
type table struct{ *Client }

// Get implements clementineturn.Table.
func (t *table) Get(ctx context.Context, key string) (clementineturn.Row, error) {
	a, err := t.read(ctx, path("table", key), nil)
	if err != nil {
		return clementineturn.Row{}, err
	}
	if a.status != http.StatusOK || a.version == "" {
		return clementineturn.Row{}, a.statusError("row", key, clementineturn.KindUnavailable)
	}
	return clementineturn.NewRow(key, a.body, a.version), nil
}

// Put implements clementineturn.Table.
func (t *table) Put(ctx context.Context, key string, value []byte, version clementineturn.Version) (clementineturn.Row, error) {
	a, err := t.write(ctx, call{method: http.MethodPut, path: path("table", key), header: condition(version), body: value})
	if err != nil {
		return clementineturn.Row{}, err
	}
	if !a.succeeded() || a.version == "" {
		return clementineturn.Row{}, a.statusError("row", key, clementineturn.KindUnknown)
	}
	return clementineturn.NewRow(key, value, a.version), nil
}

// Delete implements clementineturn.Table.
func (t *table) Delete(ctx context.Context, key string, version clementineturn.Version) error {
	a, err := t.write(ctx, call{method: http.MethodDelete, path: path("table", key), header: condition(version)})
	if err != nil {
		return err
	}
	if !a.succeeded() {
		return a.statusError("row", key, clementineturn.KindUnknown)
	}
	return nil
}

func (a response) succeeded() bool {
	return a.status == http.StatusOK || a.status == http.StatusCreated || a.status == http.StatusNoContent
}

// condition returns the headers of a conditional write: the row must have the
// version or, if the version is empty, be absent.
func condition(version clementineturn.Version) http.Header {
	if version == "" {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {string(version)}}
}
