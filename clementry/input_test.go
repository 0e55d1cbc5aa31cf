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

// TestBadInput sends what a caller must not send; no sidecar sees any of it.
func TestBadInput(t *testing.T) {
	header := func(name, value string) map[string]string { return map[string]string{name: value} }
	key := header(headerKey, "k1")
	tests := map[string]struct {
		path, body string
		header     map[string]string
		kind       clementineturn.Kind
		field      string
	}{
		"oversized body":     {chatPath, strings.Repeat(" ", maxBody) + chat, nil, clementineturn.KindTooLarge, "body"},
		"oversized call":     {servicePath, strings.Repeat("x", maxBody+1), key, clementineturn.KindTooLarge, "body"},
		"oversized resume":   {chatPath, strings.Repeat(" ", maxBody+1), header(headerEvent, strings.Repeat("A", 26)+".1/srv-1/1"), clementineturn.KindTooLarge, "body"},
		"empty body":         {chatPath, "", nil, clementineturn.KindInvalid, "body"},
		"malformed JSON":     {chatPath, `{"model":`, nil, clementineturn.KindInvalid, "body"},
		"trailing JSON":      {chatPath, chat + "{}", nil, clementineturn.KindInvalid, "body"},
		"deep JSON":          {chatPath, strings.Repeat("[", maxBody), nil, clementineturn.KindInvalid, "body"},
		"no object":          {chatPath, `[]`, nil, clementineturn.KindInvalid, "body"},
		"bad UTF-8":          {chatPath, strings.Replace(chat, "cot", "c\xfft", 1), nil, clementineturn.KindInvalid, "body"},
		"no model":           {chatPath, `{"messages":[{"role":"user"}]}`, nil, clementineturn.KindInvalid, "model"},
		"model of a type":    {chatPath, `{"model":1,"messages":[{"role":"user"}]}`, nil, clementineturn.KindInvalid, "model"},
		"unknown model":      {chatPath, `{"model":"x","messages":[{"role":"user"}]}`, nil, clementineturn.KindNotFound, "model"},
		"no messages":        {chatPath, `{"model":"m"}`, nil, clementineturn.KindInvalid, "messages"},
		"message of a type":  {chatPath, `{"model":"m","messages":[1]}`, nil, clementineturn.KindInvalid, "messages"},
		"no role":            {chatPath, `{"model":"m","messages":[{"role":"user"},{}]}`, nil, clementineturn.KindInvalid, "messages[1].role"},
		"negative limit":     {chatPath, `{"model":"m","max_tokens":-1,"messages":[{"role":"user"}]}`, nil, clementineturn.KindInvalid, "max_tokens"},
		"unknown service":    {"/v1/services/cots/reserve", "{}", key, clementineturn.KindNotFound, "service"},
		"bad call":           {"/v1/services/orders/..%2Fadmin", "{}", key, clementineturn.KindInvalid, "call"},
		"no key":             {servicePath, "{}", nil, clementineturn.KindKeyMissing, headerKey},
		"key with a line":    {servicePath, "{}", header(headerKey, "k\r\nX-Evil: 1"), clementineturn.KindInvalid, headerKey},
		"key with a space":   {servicePath, "{}", header(headerKey, "k 1"), clementineturn.KindInvalid, headerKey},
		"long key":           {servicePath, "{}", header(headerKey, strings.Repeat("k", 256)), clementineturn.KindInvalid, headerKey},
		"media with a line":  {servicePath, "{}", map[string]string{headerKey: "k", "Content-Type": "a\r\nX-Evil: 1"}, clementineturn.KindInvalid, "Content-Type"},
		"event with a line":  {chatPath, chat, header(headerEvent, strings.Repeat("A", 26)+".1/srv-1/1\r\nX-Evil: 1"), clementineturn.KindInvalid, headerEvent},
		"event of a sidecar": {chatPath, chat, header(headerEvent, strings.Repeat("A", 26)+".1/gone/1"), clementineturn.KindEvicted, ""},
		"unknown path":       {"/v1/nothing", chat, nil, clementineturn.KindNotFound, ""},
		"no organisation":    {chatPath, chat, header("Authorization", bearer+"ct-other"), clementineturn.KindUnauthenticated, ""},
		"no Authorization":   {chatPath, chat, header("Authorization", ""), clementineturn.KindUnauthenticated, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sidecar := &fakeSidecar{}
			got := ask(newEntry(sidecar), test.path, test.body, test.header)
			requireError(t, test.kind, test.field, got)
			require.Empty(t, got.Header().Get("X-Evil"))
			require.Empty(t, sidecar.offers)
			require.Empty(t, sidecar.fetches)
		})
	}
}

// TestBodyTimeout reads a body that stops.
func TestBodyTimeout(t *testing.T) {
	router := chi.NewRouter()
	newEntry().Mount(router)
	request := httptest.NewRequest(http.MethodPost, chatPath, iotest.ErrReader(fmt.Errorf("read: %w", os.ErrDeadlineExceeded)))
	request.Header.Set("Authorization", bearer+secret)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, request)
	requireError(t, clementineturn.KindInvalid, "body", recorder)
	require.Contains(t, recorder.Body.String(), "in time")
}

// TestBodyUntouched passes unknown and doubled fields on as they came.
func TestBodyUntouched(t *testing.T) {
	body := `{ "model":"m","seed":1,"seed":2,"x":{"y":[1,1.0e2,"é"]},"messages":[{"role":"user","content":[{"type":"text"}]}]}`
	sidecar := spoiled("application/json", []string{"{}"}, same)
	require.Equal(t, http.StatusOK, ask(newEntry(sidecar), chatPath, body, nil).Code)
	require.Equal(t, body, string(sidecar.offers[0].GetBody()))
}

// TestAbortedIsRecorded cuts a large answer off in its middle; the caller sees
// a broken connection and the operators a failed request.
func TestAbortedIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data := []string{strings.Repeat("x", wholeLimit+1), "rest"}
		e := newEntry(spoiled("application/json", data, func(f []*clemwire.Frame) []*clemwire.Frame { return f[:2] }))
		require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { ask(e, chatPath, plain, nil) })
		require.EqualValues(t, 1, e.config.Metrics.Counter("requests", "kind", "cut").Count())
		require.Zero(t, e.Active())
	})
}

// TestAbandonedIsCancelled gives an answer up that does not fit its request.
func TestAbandonedIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sidecar := spoiled("application/json", []string{"{}"}, frameFaults["another attempt"].change)
		got := ask(newEntry(sidecar), chatPath, plain, nil)
		requireError(t, clementineturn.KindMismatch, "", got)
		require.Len(t, sidecar.cancelled, 1)
	})
}

// TestResumeDeadline resumes at a sidecar that never answers.
func TestResumeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sidecar := &fakeSidecar{frames: func(ctx context.Context, _ *clemwire.Fetch, _ func(*clemwire.Frame) error) error {
			<-ctx.Done()
			return clementineturn.AsError(ctx.Err())
		}}
		got := ask(newEntry(sidecar), chatPath, "", map[string]string{headerEvent: strings.Repeat("A", 26) + ".1/srv-1/1"})
		requireError(t, clementineturn.KindTimeout, "", got)
	})
}

func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{chat, plain, `{"model":"m","max_tokens":-1}`, `{"model":"m","messages":[null]}`, "\xff", strings.Repeat("[", 99)} {
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
		require.LessOrEqual(t, request.output(), uint64(maxOutput))
		request.conversation()
	})
}

func FuzzParseEventID(f *testing.F) {
	for _, seed := range []string{strings.Repeat("A", 26) + ".1/srv-1/1", "a/b/c", strings.Repeat("A", 26) + ".1/srv-1/18446744073709551615", "\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := parseEventID(text)
		if err != nil {
			require.Equal(t, headerEvent, clementineturn.AsError(err).Field())
			return
		}
		require.Positive(t, id.seq+1)
		require.NotContains(t, text, "\n")
		require.Equal(t, id.attempt, text[:len(id.attempt)])
	})
}

// FuzzFrames feeds frames in any order and shape to an output. What looks
// whole to the caller must fit the end marker.
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
		frames := whole(fetch, media, events[:2])
		recorder := httptest.NewRecorder()
		out := newFloor(recorder).output()
		out.reset("srv-1", false)
		isOrdered, err := true, error(nil)
		for i, number := range order {
			frame := frames[int(number)%len(frames)]
			isOrdered = isOrdered && int(frame.GetSeq()) == i
			if err = out.frame(frame); err != nil || frame.GetEnd() != nil {
				break
			}
		}
		require.Equal(t, err == nil && out.complete, isOrdered && out.complete)
	})
}
