package clemstandin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Visit is a request that a client sends to a front.
type Visit struct {
	ID, Host, Path, Key string
	Body                string
	Patience            time.Duration
	// Parts is the value of the header X-Prompt-Prefix, the parts of the prompt.
	// Tokens is the value of X-Token-Counts, the tokens of the prompt and the
	// maximum in the response. Both are empty without a prompt.
	Parts, Tokens string
}

// Answer is the response that a client received.
type Answer struct {
	Status int
	// ID is the request's id, Stamp the value by which the backend server marked
	// the response.
	ID, Stamp string
	Body      string
	// Retry is the value of the Retry-After header, or 0.
	Retry time.Duration
	// Err is set if the response was not received whole.
	Err error
}

// Do sends the request to the address and reads the response. The request is
// sent at most once.
func (v Visit) Do(ctx context.Context, client *http.Client, address string) Answer {
	ctx, cancel := context.WithTimeout(ctx, v.Patience)
	defer cancel()
	// With a wrapped reader the request has no GetBody, without which net/http
	// does not retry it.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+v.Path, struct{ io.Reader }{strings.NewReader(v.Body)})
	if err != nil {
		return Answer{Err: err}
	}
	request.Host, request.ContentLength = v.Host, int64(len(v.Body))
	request.Header.Set("X-Request-Id", v.ID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(v.Patience.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+v.Key)
	if v.Parts != "" {
		request.Header.Set("X-Prompt-Prefix", v.Parts)
		request.Header.Set("X-Token-Counts", v.Tokens)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result := Answer{
		Status: response.StatusCode, ID: response.Header.Get("X-Request-Id"), Stamp: response.Header.Get("X-Response-Stamp"),
		Body: string(body), Err: err,
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.Retry = time.Duration(seconds * float64(time.Second))
	}
	return result
}
