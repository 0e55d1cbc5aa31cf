package clementry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	chatPath    = "/v1/chat/completions"
	servicePath = "/v1/services/orders/reserve"
)

// TestBadInput checks that invalid requests are refused before any sidecar
// receives an offer or a fetch.
func TestBadInput(t *testing.T) {
	header := func(name, value string) map[string]string { return map[string]string{name: value} }
	key := header(headerIdempotencyKey, "k1")
	tests := map[string]struct {
		path, body string
		header     map[string]string
		kind       clementineturn.Kind
		field      string
	}{
		"oversized body":     {chatPath, strings.Repeat(" ", maxBody) + streamedChat, nil, clementineturn.KindTooLarge, "body"},
		"oversized call":     {servicePath, strings.Repeat("x", maxBody+1), key, clementineturn.KindTooLarge, "body"},
		"oversized resume":   {chatPath, strings.Repeat(" ", maxBody+1), header(headerLastEventID, strings.Repeat("A", 26)+".1/srv-1/1"), clementineturn.KindTooLarge, "body"},
		"empty body":         {chatPath, "", nil, clementineturn.KindInvalid, "body"},
		"malformed JSON":     {chatPath, `{"model":`, nil, clementineturn.KindInvalid, "body"},
		"trailing JSON":      {chatPath, streamedChat + "{}", nil, clementineturn.KindInvalid, "body"},
		"deep JSON":          {chatPath, strings.Repeat("[", maxBody), nil, clementineturn.KindInvalid, "body"},
		"no object":          {chatPath, `[]`, nil, clementineturn.KindInvalid, "body"},
		"bad UTF-8":          {chatPath, strings.Replace(streamedChat, "cot", "c\xfft", 1), nil, clementineturn.KindInvalid, "body"},
		"no model":           {chatPath, `{"messages":[{"role":"user"}]}`, nil, clementineturn.KindInvalid, "model"},
		"model of a type":    {chatPath, `{"model":1,"messages":[{"role":"user"}]}`, nil, clementineturn.KindInvalid, "model"},
		"unknown model":      {chatPath, `{"model":"x","messages":[{"role":"user"}]}`, nil, clementineturn.KindNotFound, "model"},
		"no messages":        {chatPath, `{"model":"m"}`, nil, clementineturn.KindInvalid, "messages"},
		"message of a type":  {chatPath, `{"model":"m","messages":[1]}`, nil, clementineturn.KindInvalid, "messages"},
		"no role":            {chatPath, `{"model":"m","messages":[{"role":"user"},{}]}`, nil, clementineturn.KindInvalid, "messages[1].role"},
		"negative limit":     {chatPath, `{"model":"m","max_tokens":-1,"messages":[{"role":"user"}]}`, nil, clementineturn.KindInvalid, "max_tokens"},
		"unknown service":    {"/v1/services/cots/reserve", "{}", key, clementineturn.KindNotFound, "service"},
		"bad call":           {"/v1/services/orders/..%2Fadmin", "{}", key, clementineturn.KindInvalid, "call"},
		"no key":             {servicePath, "{}", nil, clementineturn.KindKeyMissing, headerIdempotencyKey},
		"key with a line":    {servicePath, "{}", header(headerIdempotencyKey, "k\r\nX-Evil: 1"), clementineturn.KindInvalid, headerIdempotencyKey},
		"key with a space":   {servicePath, "{}", header(headerIdempotencyKey, "k 1"), clementineturn.KindInvalid, headerIdempotencyKey},
		"long key":           {servicePath, "{}", header(headerIdempotencyKey, strings.Repeat("k", 256)), clementineturn.KindInvalid, headerIdempotencyKey},
		"media with a line":  {servicePath, "{}", map[string]string{headerIdempotencyKey: "k", "Content-Type": "a\r\nX-Evil: 1"}, clementineturn.KindInvalid, "Content-Type"},
		"event with a line":  {chatPath, streamedChat, header(headerLastEventID, strings.Repeat("A", 26)+".1/srv-1/1\r\nX-Evil: 1"), clementineturn.KindInvalid, headerLastEventID},
		"event of a sidecar": {chatPath, streamedChat, header(headerLastEventID, strings.Repeat("A", 26)+".1/gone/1"), clementineturn.KindEvicted, ""},
		"unknown path":       {"/v1/nothing", streamedChat, nil, clementineturn.KindNotFound, ""},
		"no organisation":    {chatPath, streamedChat, header("Authorization", bearerPrefix+"ct-other"), clementineturn.KindUnauthenticated, ""},
		"no Authorization":   {chatPath, streamedChat, header("Authorization", ""), clementineturn.KindUnauthenticated, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sidecar := &fakeSidecar{}
			got := post(newEntry(sidecar), test.path, test.body, test.header)
			requireError(t, test.kind, test.field, got)
			require.Empty(t, got.Header().Get("X-Evil"))
			require.Empty(t, sidecar.offers)
			require.Empty(t, sidecar.fetches)
		})
	}
}

// TestBodyTimeout reads a body whose read times out.
func TestBodyTimeout(t *testing.T) {
	router := chi.NewRouter()
	newEntry().Mount(router)
	request := httptest.NewRequest(http.MethodPost, chatPath, iotest.ErrReader(fmt.Errorf("read: %w", os.ErrDeadlineExceeded)))
	request.Header.Set("Authorization", bearerPrefix+apiKey)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, request)
	requireError(t, clementineturn.KindInvalid, "body", recorder)
	require.Contains(t, recorder.Body.String(), "in time")
}

// TestBodyIsForwardedUnchanged checks that unknown and duplicate fields reach
// the sidecar byte for byte.
func TestBodyIsForwardedUnchanged(t *testing.T) {
	body := `{ "model":"m","seed":1,"seed":2,"x":{"y":[1,1.0e2,"é"]},"messages":[{"role":"user","content":[{"type":"text"}]}]}`
	sidecar := alteringSidecar("application/json", []string{"{}"}, unaltered)
	require.Equal(t, http.StatusOK, post(newEntry(sidecar), chatPath, body, nil).Code)
	require.Equal(t, body, string(sidecar.offers[0].GetBody()))
}

// TestAbortedIsRecorded cuts a large answer in its middle: the caller's
// connection is aborted and the request is recorded as failed.
func TestAbortedIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data := []string{strings.Repeat("x", maxBufferedBytes+1), "rest"}
		e := newEntry(alteringSidecar("application/json", data, func(f []*clemwire.Frame) []*clemwire.Frame { return f[:2] }))
		require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { post(e, chatPath, plainChat, nil) })
		require.EqualValues(t, 1, e.config.Metrics.Counter("requests", "kind", "cut").Count())
		require.Zero(t, e.ActiveRequests())
	})
}

// TestMismatchedAnswerIsCancelled checks that an attempt is cancelled if its
// answer carries the id of another one.
func TestMismatchedAnswerIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sidecar := alteringSidecar("application/json", []string{"{}"}, frameFaults["another attempt"].change)
		got := post(newEntry(sidecar), chatPath, plainChat, nil)
		requireError(t, clementineturn.KindMismatch, "", got)
		require.Len(t, sidecar.cancelled, 1)
	})
}

// TestResumeDeadline checks that a resume at a sidecar that never answers ends
// with a timeout.
func TestResumeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sidecar := &fakeSidecar{frames: func(ctx context.Context, _ *clemwire.Fetch, _ func(*clemwire.Frame) error) error {
			<-ctx.Done()
			return clementineturn.AsError(ctx.Err())
		}}
		got := post(newEntry(sidecar), chatPath, "", map[string]string{headerLastEventID: strings.Repeat("A", 26) + ".1/srv-1/1"})
		requireError(t, clementineturn.KindTimeout, "", got)
	})
}

func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{streamedChat, plainChat, `{"model":"m","max_tokens":-1}`, `{"model":"m","messages":[null]}`, "\xff", strings.Repeat("[", 99)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := parseChat(body)
		if err != nil {
			e := clementineturn.AsError(err)
			require.Equal(t, clementineturn.KindInvalid, e.Kind())
			require.NotEmpty(t, e.Field())
			require.True(t, e.NotRun())
			return
		}
		require.NotEmpty(t, request.Model)
		require.LessOrEqual(t, request.outputTokens(), uint64(maxOutputTokens))
		request.conversationDigest()
	})
}

func FuzzParseEventID(f *testing.F) {
	for _, seed := range []string{strings.Repeat("A", 26) + ".1/srv-1/1", "a/b/c", strings.Repeat("A", 26) + ".1/srv-1/18446744073709551615", "\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := parseEventID(text)
		if err != nil {
			require.Equal(t, headerLastEventID, clementineturn.AsError(err).Field())
			return
		}
		require.Positive(t, id.seq+1)
		require.NotContains(t, text, "\n")
		require.Equal(t, id.attemptID, text[:len(id.attemptID)])
	})
}

// FuzzFrames feeds frames in any order to a writer: an answer is accepted as
// complete only if its frames came in order up to the end marker.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, true)
	f.Add([]byte{0, 1, 1, 3}, false)
	f.Add([]byte{1, 0, 3}, false)
	f.Fuzz(func(t *testing.T, order []byte, stream bool) {
		media := "application/json"
		if stream {
			media = eventStream
		}
		fetch := &clemwire.Fetch{Request: "r", Attempt: "r.1"}
		frames := completeFrames(fetch, media, streamEvents[:2])
		recorder := httptest.NewRecorder()
		out := newCallerResponse(recorder, nil).newAnswerWriter()
		out.reset("srv-1", false)
		isOrdered, err := true, error(nil)
		for i, number := range order {
			frame := frames[int(number)%len(frames)]
			isOrdered = isOrdered && int(frame.GetSeq()) == i
			if err = out.handleFrame(frame); err != nil || frame.GetEnd() != nil {
				break
			}
		}
		require.Equal(t, err == nil && out.complete, isOrdered && out.complete)
	})
}
