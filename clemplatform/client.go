// Package clemplatform holds the clients of the platform's services: the
// table, the object store and the list of hosts. They speak HTTP with
// conditional requests (RFC 9110, section 13): a row's version is its entity
// tag, If-Match updates and If-None-Match inserts.
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
	// maxAnswer bounds the bytes of one answer of the platform.
	maxAnswer = 64 << 20
)

// Config describes a Client to construct.
type Config struct {
	// URL is the platform's base address, for example http://10.0.0.1:8080.
	URL string
	// Client is optional.
	Client *http.Client
	// Timeout bounds each call; 0 means 5 s.
	Timeout time.Duration
}

// Client reaches the platform's services.
type Client struct {
	url     string
	client  *http.Client
	timeout time.Duration
}

// New returns the client that the configuration describes.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	return &Client{
		url:     strings.TrimRight(c.URL, "/"),
		client:  clemhttp.New(clemhttp.Config{Client: c.Client}),
		timeout: c.Timeout,
	}
}

// Table returns the table service.
func (c *Client) Table() clementineturn.Table { return &table{c} }

// Objects returns the object store.
func (c *Client) Objects() clementineturn.Objects { return &objects{c} }

// Hosts returns the list of hosts.
func (c *Client) Hosts() clementineturn.Hosts { return &hosts{c} }

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// call is one request to the platform.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// answer is one answer of the platform, read whole.
type answer struct {
	status  int
	version clementineturn.Version
	body    []byte
}

// read makes a call without effect. Every failure is KindUnavailable.
func (c *Client) read(ctx context.Context, path string, header http.Header) (answer, error) {
	a, _, err := c.do(ctx, call{method: http.MethodGet, path: path, header: header})
	if err != nil {
		return a, clementineturn.Errorf(clementineturn.KindUnavailable, "platform: %w", err)
	}
	return a, nil
}

// write makes a call with effect. A failure is KindUnavailable if no byte was
// sent and KindUnknown otherwise.
func (c *Client) write(ctx context.Context, w call) (answer, error) {
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

func (c *Client) do(ctx context.Context, w call) (a answer, sent bool, err error) {
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
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return a, true, err
	}
	return answer{status: resp.StatusCode, version: clementineturn.Version(resp.Header.Get("ETag")), body: content}, true, nil
}

// fail maps a status to an error of the closed list. A write that the
// platform answers with a status outside the table has no known effect.
func (a answer) fail(what, key string, otherwise clementineturn.Kind) error {
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
