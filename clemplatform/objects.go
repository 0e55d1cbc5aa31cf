package clemplatform

import (
	"context"
	"net/http"

	clementineturn "github.com/clementineturn/clementineturn"
)

// objects implements clementineturn.Objects.
type objects struct{ *Client }

// Get implements clementineturn.Objects.
func (o *objects) Get(ctx context.Context, name string) ([]byte, error) {
	a, err := o.read(ctx, path("objects", name), nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, a.fail("object", name, clementineturn.KindUnavailable)
	}
	return a.body, nil
}

// Put implements clementineturn.Objects. An object that exists with other
// content is KindConflict.
func (o *objects) Put(ctx context.Context, name string, value []byte) error {
	a, err := o.write(ctx, call{method: http.MethodPut, path: path("objects", name), body: value})
	if err != nil {
		return err
	}
	if !a.done() {
		return a.fail("object", name, clementineturn.KindUnknown)
	}
	return nil
}
