// Package clemhttp sends HTTP requests of which the sender must know whether
// a byte may have reached the other side, and which nothing may send twice.
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
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	// idleConns bounds the idle connections to one host.
	idleConns = 64
)

// Config describes a client to construct.
type Config struct {
	// Client is the client to derive from; nil takes a fresh one.
	Client *http.Client
	// Fresh opens a connection for each request. A request on a reused
	// connection that the server closes meanwhile has no known outcome.
	Fresh bool
}

// New returns a client that follows no redirects, because net/http sends the
// body of a redirected PUT or POST again.
func New(c Config) *http.Client {
	client := &http.Client{}
	if c.Client != nil {
		*client = *c.Client
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	client.Transport = transport(client.Transport, c.Fresh)
	return client
}

func transport(base http.RoundTripper, fresh bool) http.RoundTripper {
	var t *http.Transport
	switch b := base.(type) {
	case nil:
		t = newTransport()
	case *http.Transport:
		if !fresh {
			return b
		}
		t = b.Clone()
	default:
		return base
	}
	t.DisableKeepAlives = fresh
	return t
}

func newTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           protocols,
	}
}

// body hides the type of its reader, so that net/http neither fills in
// GetBody nor replaces an empty body by http.NoBody. Either would let the
// transport replay a request that has an Idempotency-Key header.
type body struct{ io.Reader }

func (body) Close() error { return nil }

// NewRequest returns a request that the transport cannot replay once a byte of it is written.
func NewRequest(ctx context.Context, method, url string, content []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body{bytes.NewReader(content)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(content))
	return req, nil
}

// Do sends the request. On an error, sent is false only if certainly no byte
// of the request was written: no connection could be had.
func Do(client *http.Client, req *http.Request) (resp *http.Response, sent bool, err error) {
	if err := req.Context().Err(); err != nil {
		return nil, false, err
	}
	var asked, connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	resp, err = client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, true, nil
	}
	if connected.Load() {
		return nil, true, err
	}
	return nil, !asked.Load() && !isDial(err), err
}

// isDial reports whether the error comes from opening a connection.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
