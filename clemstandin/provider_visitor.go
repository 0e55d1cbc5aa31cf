package clemstandin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Visit is one request of a client.
type Visit struct {
	ID, Host, Path, Key string
	Body                string
	Patience            time.Duration
	// Parts are the parts of the prompt and Tokens the prompt's and the most of
	// the answer's tokens, as they stand in the headers; empty without a prompt.
	Parts, Tokens string
}

// Answer is what a client got.
type Answer struct {
	Status int
	// ID and Stamp are the request's id and the server's signature of the answer.
	ID, Stamp string
	Body      string
	Retry     time.Duration
	// Err is set if there was no whole answer.
	Err error
}

// Do sends the request and reads the answer. The client never sends it twice.
func (v Visit) Do(ctx context.Context, client *http.Client, address string) Answer {
	ctx, cancel := context.WithTimeout(ctx, v.Patience)
	defer cancel()
	// A reader of its own type has no GetBody, without which net/http repeats nothing.
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
	answer := Answer{
		Status: response.StatusCode, ID: response.Header.Get("X-Request-Id"), Stamp: response.Header.Get("X-Response-Stamp"),
		Body: string(body), Err: err,
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		answer.Retry = time.Duration(seconds * float64(time.Second))
	}
	return answer
}
