package clembackend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemhttp"
	"github.com/clementineturn/clementineturn/clemwire"
)

// maxErrorBody is how much of a backend server's response an error quotes, in
// bytes.
const maxErrorBody = 512

// orderBody is the JSON body of an order.
type orderBody struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Fence    uint64   `json:"fence"`
}

// Order implements clementineturn.Backend. It does nothing for plain services,
// which accept no orders. Errors: KindConflict if the engine has seen a higher
// fencing token, KindUnavailable if the order had no effect, KindInvalid if the
// engine refuses it as invalid, KindUnknown if it may have taken effect,
// KindTimeout, KindExpired and KindCancelled as for Run.
func (b *Backend) Order(ctx context.Context, pool *clemwire.Pool, fence uint64) error {
	if b.plain || pool.GetKind() == clemwire.PoolKind_POOL_KIND_PLAIN {
		return nil
	}
	body, err := json.Marshal(orderBody{Version: pool.GetVersion(), Adapters: pool.GetAdapters(), Fence: fence})
	if err != nil {
		return clementineturn.Errorf(clementineturn.KindInternal, "order: %w", err)
	}
	req, err := clemhttp.NewRequest(ctx, http.MethodPost, b.url+"/v1/load", body)
	if err != nil {
		return clementineturn.Refuse(clementineturn.KindInvalid, "order: %v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, sent, err := clemhttp.Do(b.single, req)
	if err != nil {
		return sendError(ctx, err, sent)
	}
	defer resp.Body.Close()
	return orderError(resp)
}

// orderError returns the error for the engine's response to an order, or nil.
func orderError(resp *http.Response) error {
	kind := clementineturn.KindUnknown
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		kind = clementineturn.KindConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = clementineturn.KindUnavailable
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		kind = clementineturn.KindInvalid
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return clementineturn.Errorf(kind, "the engine answered the order with %d: %s", resp.StatusCode, text)
}
