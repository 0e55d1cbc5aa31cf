// Package clemplatform is the HTTP client of the platform's services: the table,
// the object store and the list of hosts. It uses conditional requests (RFC
// 9110, section 13): a row's version is its entity tag, If-Match updates a row
// and If-None-Match inserts one.
package clemplatform

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemhttp"
)

const (
	defaultTimeout = 5 * time.Second
	// maxResponseBytes bounds the size of a response of the platform.
	maxResponseBytes = 64 << 20
)

// Config describes a Client to construct.
type Config struct {
	// URL is the platform's base address, for example http://10.0.0.1:8080.
	URL string
	// Client sends the requests; nil means a default client.
	Client *http.Client
	// Timeout bounds each call; 0 means 5 s.
	Timeout time.Duration
	// OnInvalidHost is called for each listed host that does not decode. It may be nil.
	OnInvalidHost func(error)
}

// Client is a client of the platform's services.
type Client struct {
	url     string
	client  *http.Client
	timeout time.Duration
	// onInvalidHost is called for each listed host that does not decode, unless it is nil.
	onInvalidHost func(error)
}

// New returns the client that the configuration describes.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	return &Client{
		url:     strings.TrimRight(c.URL, "/"),
		client:  clemhttp.New(clemhttp.Config{Client: c.Client}),
		timeout: c.Timeout, onInvalidHost: c.OnInvalidHost,
	}
}

// Table returns the client of the table service.
func (c *Client) Table() clementineturn.Table { return &table{c} }

// Objects returns the client of the object store.
func (c *Client) Objects() clementineturn.ObjectStore { return &objects{c} }

// Hosts returns the client of the list of hosts.
func (c *Client) Hosts() clementineturn.Hosts { return &hosts{c} }

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// call is a request to the platform.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// response is an HTTP response of the platform with its body.
type response struct {
	status  int
	version clementineturn.Version
	body    []byte
}

// read sends a request that changes nothing. Every failure is KindUnavailable.
func (c *Client) read(ctx context.Context, path string, header http.Header) (response, error) {
	a, _, err := c.do(ctx, call{method: http.MethodGet, path: path, header: header})
	if err != nil {
		return a, clementineturn.Errorf(clementineturn.KindUnavailable, "platform: %w", err)
	}
	return a, nil
}

// write sends a request that changes something. A failure is KindUnavailable if
// no byte was sent and KindUnknown otherwise, since the change may take effect.
func (c *Client) write(ctx context.Context, w call) (response, error) {
	a, sent, err := c.do(ctx, w)
	if err == nil {
		return a, nil
	}
	kind := clementineturn.KindUnavailable
	if sent {
		kind = clementineturn.KindUnknown
	}
	return a, clementineturn.Errorf(kind, "platform: %w", err)
}

func (c *Client) do(ctx context.Context, w call) (a response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := clemhttp.NewRequest(ctx, w.method, c.url+w.path, w.body)
	if err != nil {
		return a, false, err
	}
	if w.method == http.MethodGet {
		req.Body = nil
	}
	for name, values := range w.header {
		req.Header[name] = values
	}
	resp, sent, err := clemhttp.Do(c.client, req)
	if err != nil {
		return a, sent, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return a, true, err
	}
	return response{status: resp.StatusCode, version: clementineturn.Version(resp.Header.Get("ETag")), body: content}, true, nil
}

// statusError returns the error for a status. A status that is not mapped here
// gives the kind otherwise, which for a write is KindUnknown.
func (a response) statusError(what, key string, otherwise clementineturn.Kind) error {
	kind := otherwise
	switch a.status {
	case http.StatusNotFound:
		kind = clementineturn.KindNotFound
	case http.StatusPreconditionFailed, http.StatusConflict:
		kind = clementineturn.KindConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = clementineturn.KindUnavailable
	case http.StatusRequestEntityTooLarge:
		kind = clementineturn.KindTooLarge
	}
	return clementineturn.Errorf(kind, "%s %q: the platform answered %d", what, key, a.status)
}

func path(service, key string) string { return "/" + service + "/" + url.PathEscape(key) }
