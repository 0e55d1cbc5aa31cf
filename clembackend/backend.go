// Package clembackend is the sidecar's HTTP client of its backend server, which
// is a model engine with an OpenAI-compatible API or a plain HTTP service. It is
// the last hop of a request.
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

// Config configures a Backend.
type Config struct {
	// URL is the backend server's base address.
	URL string
	// Plain is set for a plain service, which accepts no orders and reports no
	// load.
	Plain bool
	// Client is the base HTTP client. It is optional.
	Client *http.Client
}

// Backend implements clementineturn.Backend over HTTP.
type Backend struct {
	url   string
	plain bool
	// pooled reuses connections. single opens a connection for each request.
	pooled *http.Client
	single *http.Client
}

// New returns a Backend with the given configuration.
func New(c Config) *Backend {
	return &Backend{
		url:    strings.TrimRight(c.URL, "/"),
		plain:  c.Plain,
		pooled: clemhttp.New(clemhttp.Config{Client: c.Client}),
		single: clemhttp.New(clemhttp.Config{Client: c.Client, DisableKeepAlives: true}),
	}
}

// Close closes idle connections.
func (b *Backend) Close() { b.pooled.CloseIdleConnections() }

// prioritizer is implemented by sinks that know the engine priority of their
// work. Engines run lower numbers first.
type prioritizer interface {
	Priority() int
}

// Run implements clementineturn.Backend. The response's status is passed to the
// sink unchanged. Errors: KindUnavailable with NotRun if the request failed
// before a byte was sent, KindUnknown if it failed later without a response,
// KindCut if the response ends early, KindTimeout or KindCancelled if the
// context ends (KindExpired with NotRun if its deadline passes before a byte
// was sent), KindInvalid with NotRun if the offer makes no valid request, and
// the errors of the sink.
func (b *Backend) Run(ctx context.Context, offer *clemwire.Offer, sink clementineturn.Sink) error {
	req, err := b.newRequest(ctx, offer)
	if err != nil {
		return err
	}
	if p, ok := sink.(prioritizer); ok {
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
	return copyResponse(ctx, offer, resp, sink)
}

// newRequest returns the HTTP request for the offer.
func (b *Backend) newRequest(ctx context.Context, offer *clemwire.Offer) (*http.Request, error) {
	path, err := offerPath(offer)
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

// offerPath returns the offer's path on the backend server. It refuses dot
// segments, which the server could resolve to another path.
func offerPath(offer *clemwire.Offer) (string, error) {
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

// sendError returns the error for a request without a response. If sent is
// false, no byte of it was sent, so the error says NotRun.
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
