package clemplatform

import (
	"context"
	"net/http"

	clementineturn "github.com/clementineturn/clementineturn"
)

// objects implements clementineturn.ObjectStore.
type objects struct{ *Client }

// Get implements clementineturn.ObjectStore.
func (o *objects) Get(ctx context.Context, name string) ([]byte, error) {
	a, err := o.read(ctx, path("objects", name), nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, a.statusError("object", name, clementineturn.KindUnavailable)
	}
	return a.body, nil
}

// Put implements clementineturn.ObjectStore. It returns KindConflict if the object
// exists with other content.
func (o *objects) Put(ctx context.Context, name string, value []byte) error {
	a, err := o.write(ctx, call{method: http.MethodPut, path: path("objects", name), body: value})
	if err != nil {
		return err
	}
	if !a.succeeded() {
		return a.statusError("object", name, clementineturn.KindUnknown)
	}
	return nil
}
