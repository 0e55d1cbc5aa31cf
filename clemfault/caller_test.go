package clemfault

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"time"
)

// maxTries is how many times a caller sends a request that fails.
const maxTries = 60

// connection is a caller's connection to an entry. It breaks when the entry dies.
type connection struct {
	mu       sync.Mutex
	header   http.Header
	status   int
	body     bytes.Buffer
	isBroken bool
}

// Header implements http.ResponseWriter.
func (c *connection) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *connection) WriteHeader(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == 0 {
		c.status = status
	}
}

// Write implements http.ResponseWriter.
func (c *connection) Write(data []byte) (int, error) {
	c.WriteHeader(http.StatusOK)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBroken {
		return 0, http.ErrHandlerTimeout
	}
	return c.body.Write(data)
}

// Flush implements http.Flusher.
func (c *connection) Flush() {}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// isCut is set if the connection broke before the end of the response.
	isCut bool
}

// request sends a request to an entry and waits until the response is complete or
// the connection breaks.
func (f *fleet) request(entry, path, body string, header map[string]string) *response {
	n := f.node(f.balance(entry))
	if n.ctx.Err() != nil {
		return &response{isCut: true}
	}
	ctx, cancel := context.WithTimeout(n.ctx, time.Minute)
	defer cancel()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+secret)
	for key, value := range header {
		request.Header.Set(key, value)
	}
	c := &connection{header: http.Header{}}
	done := make(chan bool, 1)
	go func() {
		defer func() { done <- recover() == nil }()
		n.handler.ServeHTTP(c, request)
	}()
	isComplete := false
	select {
	case isComplete = <-done:
	case <-n.ctx.Done():
		c.mu.Lock()
		c.isBroken = true
		c.mu.Unlock()
		<-done
	}
	return &response{status: c.status, header: c.header, body: c.body.String(), isCut: !isComplete || n.ctx.Err() != nil}
}

// balance returns the entry, or the other one if the first is not ready, as the
// platform's load balancer does.
func (f *fleet) balance(entry string) string {
	if n := f.node(entry); n.ctx.Err() == nil && n.isReady() {
		return entry
	}
	if entry == "entry-1" {
		return "entry-2"
	}
	return "entry-1"
}

func (n *node) isReady() bool {
	recorder := httptest.NewRecorder()
	n.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	return recorder.Code == http.StatusOK
}

var eventID = regexp.MustCompile(`(?m)^id: (.*)\n`)

// chat sends a chat like a caller that needs one complete answer: it resumes a cut
// stream through the other entry, and starts over if the answer was evicted.
func (f *fleet) chat(body string) (answer string, responses []*response) {
	lastID, received := "", ""
	for attempt := range maxTries {
		header := map[string]string{}
		if lastID != "" {
			header["Last-Event-ID"] = lastID
		}
		r := f.request([]string{"entry-1", "entry-2"}[attempt%2], "/v1/chat/completions", body, header)
		responses = append(responses, r)
		if r.status == http.StatusOK {
			text, id := parseEvents(r.body)
			received += text
			if id != "" {
				lastID = id
			}
			if strings.HasSuffix(received, "data: [DONE]\n\n") {
				return received, responses
			}
		}
		if strings.Contains(r.body, `"evicted"`) {
			lastID, received = "", ""
		}
		time.Sleep(time.Second)
	}
	return received, responses
}

// parseEvents returns the events of a stream without their IDs and without error
// events, and the last ID.
func parseEvents(body string) (text, lastID string) {
	for _, event := range strings.SplitAfter(body, "\n\n") {
		id := eventID.FindStringSubmatch(event)
		if id == nil || !strings.HasSuffix(event, "\n\n") {
			continue
		}
		lastID = id[1]
		text += eventID.ReplaceAllString(event, "")
	}
	return text, lastID
}

// reserve retries a call with its idempotency key until it knows the outcome.
func (f *fleet) reserve(key string) (outcome string, responses []*response) {
	for attempt := range maxTries {
		r := f.request([]string{"entry-1", "entry-2"}[attempt%2], "/v1/services/orders/reserve", `{"cot":7}`, map[string]string{"Idempotency-Key": key})
		responses = append(responses, r)
		if !r.isCut && r.status == http.StatusOK {
			return r.body, responses
		}
		time.Sleep(time.Second)
	}
	return "", responses
}
