package clemstandin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ClientRequest is a request that a client sends to a front.
type ClientRequest struct {
	RequestID, Host, Path, APIKey string
	Body                          string
	Timeout                       time.Duration
	// PromptPrefix is the value of the header X-Prompt-Prefix, the parts of the
	// prompt. TokenCounts is the value of X-Token-Counts, the tokens of the prompt
	// and the maximum in the response. Both are empty without a prompt.
	PromptPrefix, TokenCounts string
	// LastEventID is the id of the last event of a stream that the client takes up, and
	// ResumedID the id of the request that brought its first one. Both are empty otherwise.
	LastEventID, ResumedID string
}

// ClientResponse is the response that a client received.
type ClientResponse struct {
	Status int
	// RequestID is the id of the request, Stamp the value by which the backend
	// server marked the response.
	RequestID, Stamp string
	Body             string
	// RetryAfter is the value of the Retry-After header, or 0.
	RetryAfter time.Duration
	// IsLeaving is set if the response announces that the server leaves.
	IsLeaving bool
	// Err is set if the response was not received whole.
	Err error
}

// Do sends the request to the address and reads the response. The request is
// sent at most once.
func (r ClientRequest) Do(ctx context.Context, client *http.Client, address string) ClientResponse {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	// With a wrapped reader the request has no GetBody, without which net/http
	// does not retry it.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, struct{ io.Reader }{strings.NewReader(r.Body)})
	if err != nil {
		return ClientResponse{Err: err}
	}
	request.Host, request.ContentLength = r.Host, int64(len(r.Body))
	request.Header.Set("X-Request-Id", r.RequestID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+r.APIKey)
	if r.PromptPrefix != "" {
		request.Header.Set("X-Prompt-Prefix", r.PromptPrefix)
		request.Header.Set("X-Token-Counts", r.TokenCounts)
	}
	if r.ResumedID != "" {
		request.Header.Set("Last-Event-Id", r.LastEventID)
		request.Header.Set("Resumes", r.ResumedID)
	}
	response, err := client.Do(request)
	if err != nil {
		return ClientResponse{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result := ClientResponse{
		Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id"), Stamp: response.Header.Get("X-Response-Stamp"),
		Body: string(body), Err: err, IsLeaving: response.Header.Get("Server-Leaving") == "1",
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result
}
