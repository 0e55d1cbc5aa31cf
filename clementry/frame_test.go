package clementry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemwire"
)

var streamEvents = []string{"data: {\"n\":1}\n\n", "data: {\"n\":2}\n\n", "data: [DONE]\n\n"}

// completeFrames returns the frames of a complete answer.
func completeFrames(fetch *clemwire.Fetch, media string, data []string) []*clemwire.Frame {
	frames := []*clemwire.Frame{{Start: &clemwire.Start{Status: http.StatusOK, Media: media}}}
	digest, length := xxhash.New(), 0
	for _, text := range data {
		_, _ = digest.WriteString(text)
		length += len(text)
		frames = append(frames, &clemwire.Frame{Data: []byte(text)})
	}
	frames = append(frames, &clemwire.Frame{End: &clemwire.End{Length: uint64(length), Digest: digest.Sum64()}})
	for i, frame := range frames {
		frame.Request, frame.Attempt, frame.Seq = fetch.GetRequest(), fetch.GetAttempt(), uint64(i)
	}
	return frames
}

// alteringSidecar returns a sidecar that applies change to its answers.
func alteringSidecar(media string, data []string, change func([]*clemwire.Frame) []*clemwire.Frame) *fakeSidecar {
	return &fakeSidecar{frames: framesThenCut(func(fetch *clemwire.Fetch) []*clemwire.Frame { return change(completeFrames(fetch, media, data)) })}
}

// frameFaults are faults of an answer with the error that each must cause. The
// caller must never take such an answer for complete.
var frameFaults = map[string]struct {
	kind   clementineturn.Kind
	change func([]*clemwire.Frame) []*clemwire.Frame
}{
	"another request":     {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[2].Request = "other"; return f }},
	"another attempt":     {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[2].Attempt = "other.1"; return f }},
	"another's from 0 on": {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[0].Attempt = "other.1"; return f }},
	"crossed":             {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[1], f[2] = f[2], f[1]; return f }},
	"doubled":             {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { return append(f[:2], f[1:]...) }},
	"missing":             {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { return append(f[:2], f[3:]...) }},
	"missing, renumbered": {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame {
		f = append(f[:2], f[3:]...)
		for i := range f {
			f[i].Seq = uint64(i)
		}
		return f
	}},
	"changed":          {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[2].Data[8] ^= 1; return f }},
	"wrong length":     {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[len(f)-1].End.Length++; return f }},
	"wrong digest":     {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[len(f)-1].End.Digest++; return f }},
	"no start":         {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[0].Start = nil; return f }},
	"second start":     {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[2].Start = f[0].Start; return f }},
	"status 0":         {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[0].Start.Status = 0; return f }},
	"status 1xx":       {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[0].Start.Status = 101; return f }},
	"status 4 figures": {clementineturn.KindMismatch, func(f []*clemwire.Frame) []*clemwire.Frame { f[0].Start.Status = 1000; return f }},
	"cut":              {clementineturn.KindCut, func(f []*clemwire.Frame) []*clemwire.Frame { return f[:len(f)-1] }},
	"cut in between":   {clementineturn.KindCut, func(f []*clemwire.Frame) []*clemwire.Frame { return f[:2] }},
}

func TestFrameFaults(t *testing.T) {
	for name, fault := range frameFaults {
		t.Run("stream/"+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := post(newEntry(alteringSidecar(eventStream, streamEvents, fault.change)), "/v1/chat/completions", streamedChat, nil)
				require.NotContains(t, got.Body.String(), "[DONE]")
				require.Contains(t, got.Body.String(), `"code":"`+fault.kind.String()+`"`)
			})
		})
		t.Run("whole/"+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				data := []string{`{"number":1,`, `"number2":2,`, `"number3":3}`}
				got := post(newEntry(alteringSidecar("application/json", data, fault.change)), "/v1/chat/completions", plainChat, nil)
				requireError(t, fault.kind, "", got)
				require.NotContains(t, got.Body.String(), "number")
			})
		})
	}
}

// TestCompleteAnswers checks the bytes that a caller receives without a fault
// and if fetches break in the middle of a stream.
func TestCompleteAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := post(newEntry(alteringSidecar("application/json", []string{"{", "}"}, unaltered)), "/v1/chat/completions", plainChat, nil)
		require.Equal(t, "{}", got.Body.String())
		require.Equal(t, "2", got.Header().Get("Content-Length"))
		require.Equal(t, "srv-1", got.Header().Get(headerServer))
		sidecar := alteringSidecar(eventStream, streamEvents, unaltered)
		uncut := sidecar.frames
		sidecar.frames = func(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
			n := 0
			return uncut(ctx, fetch, func(frame *clemwire.Frame) error {
				if n++; n > 2 {
					return clementineturn.Errorf(clementineturn.KindCut, "broken: %w", io.ErrUnexpectedEOF)
				}
				return handler(frame)
			})
		}
		got = post(newEntry(sidecar), "/v1/chat/completions", streamedChat, nil)
		id := "id: " + got.Header().Get(headerRequest) + ".1/srv-1/"
		require.Equal(t, id+"1\n"+streamEvents[0]+id+"2\n"+streamEvents[1]+id+"3\n"+streamEvents[2], got.Body.String())
		require.Len(t, sidecar.fetches, 3)
	})
}

func unaltered(frames []*clemwire.Frame) []*clemwire.Frame { return frames }

// TestResumeFrames resumes streams from well-formed event ids.
func TestResumeFrames(t *testing.T) {
	attempt := strings.Repeat("A", 26) + ".1"
	tests := map[string]struct {
		seq    string
		change func([]*clemwire.Frame) []*clemwire.Frame
		kind   clementineturn.Kind
		field  string
		body   string
	}{
		"middle":        {seq: "1", change: unaltered, body: "id: " + attempt + "/srv-1/2\n" + streamEvents[1] + "id: " + attempt + "/srv-1/3\n" + streamEvents[2]},
		"all seen":      {seq: "3", change: unaltered},
		"past the end":  {seq: "9", change: func(f []*clemwire.Frame) []*clemwire.Frame { return repeatEnd(f, 12) }, kind: clementineturn.KindInvalid, field: headerLastEventID},
		"missing frame": {seq: "1", change: func(f []*clemwire.Frame) []*clemwire.Frame { return append(f[:2], f[3:]...) }, kind: clementineturn.KindMismatch},
		"missing last":  {seq: "2", change: func(f []*clemwire.Frame) []*clemwire.Frame { return append(f[:3], f[4:]...) }, kind: clementineturn.KindMismatch},
		"another's":     {seq: "1", change: func(f []*clemwire.Frame) []*clemwire.Frame { f[2].Attempt = "other.1"; return f }, kind: clementineturn.KindMismatch},
		"failed answer": {seq: "2", change: func(f []*clemwire.Frame) []*clemwire.Frame {
			f[3].Data, f[3].End = nil, &clemwire.End{Refusal: clementineturn.Errorf(clementineturn.KindTimeout, "late").Refusal()}
			return f
		}, kind: clementineturn.KindEvicted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEntry(alteringSidecar(eventStream, streamEvents, test.change))
				got := post(e, "/v1/chat/completions", "", map[string]string{headerLastEventID: attempt + "/srv-1/" + test.seq})
				if test.kind != clementineturn.KindInternal {
					requireError(t, test.kind, test.field, got)
					return
				}
				require.Equal(t, http.StatusOK, got.Code)
				require.Equal(t, test.body, got.Body.String())
			})
		})
	}
}

// repeatEnd repeats the end frame, which a fetch beyond the end returns.
func repeatEnd(frames []*clemwire.Frame, n int) []*clemwire.Frame {
	for len(frames) < n {
		frames = append(frames, frames[len(frames)-1])
	}
	return frames
}

// TestResumeAtDrainingServer resumes at a server that takes no new work.
func TestResumeAtDrainingServer(t *testing.T) {
	e := newEntry(alteringSidecar(eventStream, streamEvents, unaltered))
	e.config.Board.Members().Set(clemboard.NewMembers([]*clemwire.Host{{Name: "srv-1", Address: "srv-1", Pool: "chats", Leaving: true}}))
	got := post(e, "/v1/chat/completions", "", map[string]string{headerLastEventID: strings.Repeat("A", 26) + ".1/srv-1/2"})
	require.Equal(t, http.StatusOK, got.Code)
	require.Contains(t, got.Body.String(), streamEvents[2])
}

// TestStreamWithManyDisconnects breaks the connection after every frame: each
// fetch continues after the last frame, and only fetches without a frame count
// towards the limit.
func TestStreamWithManyDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data := []string{"data: 1\n\n", "data: 2\n\n", "data: 3\n\n", "data: 4\n\n", "data: [DONE]\n\n"}
		sidecar := &fakeSidecar{frames: func(_ context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
			frame := completeFrames(fetch, eventStream, data)[fetch.GetFrom()]
			if err := handler(frame); err != nil || frame.GetEnd() != nil {
				return err
			}
			return clementineturn.Errorf(clementineturn.KindCut, "cut")
		}}
		got := post(newEntry(sidecar), chatPath, plainChat, nil)
		for _, event := range data {
			require.Equal(t, 1, strings.Count(got.Body.String(), event), got.Body.String())
		}
	})
}
