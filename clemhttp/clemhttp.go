// Package clemhttp is an HTTP client for requests that must not be sent twice,
// such as those to backend servers and to the platform. It never resends a
// request on its own, and reports whether a request may have been sent.
package clemhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 64
	// maxHeadBytes is the size limit of a response's head: 9 MB of memory if it has lines
	// of three bytes. net/http's own is 10 MiB.
	maxHeadBytes = 256 << 10
)

// Config describes a client to construct.
type Config struct {
	// Client is the client to copy; nil means a new one.
	Client *http.Client
	// DisableKeepAlives opens a new connection for each request. On a reused
	// connection, the outcome of a request is unknown if the server closes it
	// meanwhile.
	DisableKeepAlives bool
}

// New returns a client that does not follow redirects, because net/http resends
// the body of a redirected PUT or POST.
func New(c Config) *http.Client {
	client := &http.Client{}
	if c.Client != nil {
		*client = *c.Client
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	client.Transport = deriveTransport(client.Transport, c.DisableKeepAlives)
	return client
}

// deriveTransport returns the transport of the new client. It is the base itself
// unless the base is nil, or is an *http.Transport with keep-alives that are to
// be disabled.
func deriveTransport(base http.RoundTripper, disableKeepAlives bool) http.RoundTripper {
	var t *http.Transport
	switch b := base.(type) {
	case nil:
		t = newTransport()
	case *http.Transport:
		if !disableKeepAlives {
			return b
		}
		t = b.Clone()
	default:
		return base
	}
	t.DisableKeepAlives = disableKeepAlives
	return t
}

func newTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
		Protocols:              protocols,
	}
}

// opaqueBody hides the type of its reader, so that net/http neither sets GetBody
// nor replaces an empty body by http.NoBody. Either would allow the transport to
// resend a request with an Idempotency-Key header.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// NewRequest returns a request that the transport cannot resend once a byte of it
// was written.
func NewRequest(ctx context.Context, method, url string, content []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, opaqueBody{bytes.NewReader(content)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(content))
	return req, nil
}

// Do sends the request. On an error, sent is false only if it is certain that no
// byte of the request was written, because no connection was established. Errors: those
// of the client and of CheckHead.
func Do(client *http.Client, req *http.Request) (resp *http.Response, sent bool, err error) {
	if err := req.Context().Err(); err != nil {
		return nil, false, err
	}
	var connRequested, connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	resp, err = client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		if err := CheckHead(resp); err != nil {
			_ = resp.Body.Close()
			return nil, true, err
		}
		return resp, true, nil
	}
	if connected.Load() {
		return nil, true, err
	}
	return nil, !connRequested.Load() && !isDialError(err), err
}

// isDialError reports whether the error comes from opening a connection.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
