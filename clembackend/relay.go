package clembackend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"sync"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	bufferSize = 32 << 10
	// tailSize is the number of bytes kept from the end of a stream: enough for
	// the end marker and the line breaks around it.
	tailSize    = 32
	eventStream = "text/event-stream"
)

var endMarker = []byte("data: [DONE]")

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// copyResponse streams the response to the sink and checks that it is complete.
func copyResponse(ctx context.Context, offer *clemwire.Offer, resp *http.Response, sink clementineturn.Sink) error {
	// A header value may contain any bytes, but a protobuf string must be UTF-8.
	media := strings.ToValidUTF8(resp.Header.Get("Content-Type"), "\ufffd")
	if err := sink.Start(&clemwire.Start{Status: uint32(resp.StatusCode), Media: media}); err != nil {
		return err
	}
	base, _, _ := mime.ParseMediaType(media)
	hasMarker := offer.GetService() == "" && base == eventStream
	var end streamTail
	if err := end.copy(ctx, resp.Body, sink); err != nil {
		return err
	}
	if hasMarker {
		return end.checkEnd()
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1 {
		return clementineturn.Errorf(clementineturn.KindCut, "the answer has no length, so that its end cannot be told from a cut")
	}
	return nil
}

// streamTail holds the last bytes of a response.
type streamTail struct {
	bytes [tailSize]byte
	size  int
}

// copy copies the response to the sink and keeps its last bytes.
func (t *streamTail) copy(ctx context.Context, from io.Reader, sink clementineturn.Sink) error {
	buffer := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buffer)
	for {
		n, err := from.Read(buffer[:])
		if n > 0 {
			t.add(buffer[:n])
			if err := sink.Data(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return readError(ctx, err)
		}
	}
}

func (t *streamTail) add(data []byte) {
	if len(data) >= tailSize {
		t.size = copy(t.bytes[:], data[len(data)-tailSize:])
		return
	}
	if drop := t.size + len(data) - tailSize; drop > 0 {
		t.size = copy(t.bytes[:], t.bytes[drop:t.size])
	}
	t.size += copy(t.bytes[t.size:], data)
}

// checkEnd returns an error if the stream ended without its end marker. An
// engine that crashes may still end the HTTP body properly, so the transport
// does not detect it.
func (t *streamTail) checkEnd() error {
	if bytes.HasSuffix(bytes.TrimRight(t.bytes[:t.size], "\r\n"), endMarker) {
		return nil
	}
	return clementineturn.Errorf(clementineturn.KindCut, "the stream ended without [DONE]")
}

// readError returns the error for a response that could not be read completely.
func readError(ctx context.Context, err error) error {
	if ended := ctx.Err(); ended != nil {
		kind := clementineturn.KindCancelled
		if errors.Is(ended, context.DeadlineExceeded) {
			kind = clementineturn.KindTimeout
		}
		return clementineturn.Errorf(kind, "reading the answer: %w", err)
	}
	return clementineturn.Errorf(clementineturn.KindCut, "the answer ended early: %w", err)
}
