// Package clembackend is the sidecar's connection to its backend server: a
// model engine with an OpenAI-compatible interface, or a plain HTTP service.
package clembackend

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"unicode"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemhttp"
	"github.com/clementineturn/clementineturn/clemwire"
)

const chatPath = "/v1/chat/completions"

// Config describes a Backend to construct.
type Config struct {
	// URL is the backend server's base address.
	URL string
	// Plain marks a plain service, which takes no orders and reports no load.
	Plain bool
	// Client is optional.
	Client *http.Client
}

// Backend implements clementineturn.Backend over HTTP.
type Backend struct {
	url   string
	plain bool
	// pooled reuses connections; single opens one for each request.
	pooled *http.Client
	single *http.Client
}

// New returns the backend that the configuration describes.
func New(c Config) *Backend {
	return &Backend{
		url:    strings.TrimRight(c.URL, "/"),
		plain:  c.Plain,
		pooled: clemhttp.New(clemhttp.Config{Client: c.Client}),
		single: clemhttp.New(clemhttp.Config{Client: c.Client, Fresh: true}),
	}
}

// Close closes idle connections.
func (b *Backend) Close() { b.pooled.CloseIdleConnections() }

// prioritized is a sink that knows the engine priority of its work; engines run lower numbers first.
type prioritized interface {
	Priority() int
}

// Run implements clementineturn.Backend. The answer's status is passed on as
// it is. Errors: KindUnavailable with NotRun if no connection could be had,
// KindUnknown if there is no answer after a byte was sent, KindCut if the
// answer ends early, KindTimeout and KindCancelled at the context's end
// (KindExpired with NotRun if it ended before a byte was sent), and the errors of the sink.
func (b *Backend) Run(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	req, err := b.request(ctx, offer)
	if err != nil {
		return err
	}
	if p, ok := sink.(prioritized); ok {
		req.Header.Set("X-Priority", strconv.Itoa(p.Priority()))
	}
	client := b.pooled
	if offer.GetMode() == clemwire.Mode_MODE_AT_MOST_ONCE {
		client = b.single
	}
	resp, sent, err := clemhttp.Do(client, req)
	if err != nil {
		return sendError(ctx, err, sent)
	}
	defer resp.Body.Close()
	return relay(ctx, offer, resp, sink)
}

func (b *Backend) request(ctx context.Context, offer *clemwire.Offer) (*http.Request, error) {
	path, err := target(offer)
	if err != nil {
		return nil, err
	}
	req, err := clemhttp.NewRequest(ctx, http.MethodPost, b.url+path, offer.GetBody())
	if err != nil {
		return nil, clementineturn.Refuse(clementineturn.KindInvalid, "request to the backend server: %v", err)
	}
	media := offer.GetMedia()
	if media == "" {
		media = "application/json"
	}
	for _, h := range []struct{ name, field, value string }{
		{"Content-Type", "media", media},
		{"X-Request-Id", "request", offer.GetRequest()},
		{"Idempotency-Key", "key", offer.GetKey()},
	} {
		if strings.ContainsFunc(h.value, unicode.IsControl) {
			return nil, clementineturn.Invalid(h.field, "control characters are not allowed in the header %s", h.name)
		}
		if h.value != "" {
			req.Header.Set(h.name, h.value)
		}
	}
	return req, nil
}

// target returns the path of the offer on the backend server. Dot segments
// would name another path there.
func target(offer *clemwire.Offer) (string, error) {
	if offer.GetService() == "" {
		return chatPath, nil
	}
	path := ""
	for _, segment := range []string{offer.GetService(), offer.GetCall()} {
		if segment == "" || segment == "." || segment == ".." {
			return "", clementineturn.Invalid("call", "found %q, a name is needed", segment)
		}
		path += "/" + url.PathEscape(segment)
	}
	return path, nil
}

// sendError returns the error of a request that got no answer.
func sendError(ctx context.Context, err error, sent bool) error {
	kind := clementineturn.KindUnavailable
	if sent {
		kind = clementineturn.KindUnknown
	}
	ended := ctx.Err()
	switch {
	case errors.Is(ended, context.DeadlineExceeded) && sent:
		kind = clementineturn.KindTimeout
	case errors.Is(ended, context.DeadlineExceeded):
		kind = clementineturn.KindExpired
	case ended != nil:
		kind = clementineturn.KindCancelled
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: kind, Message: "backend server: " + err.Error(), NotRun: !sent, Cause: err,
	})
}
