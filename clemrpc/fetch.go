package clemrpc

import (
	"bufio"
	"context"
	"net/http"
	"net/url"
	"strconv"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Fetch implements clementineturn.Peer. Errors: KindCut if the stream ends without an
// end frame or cannot be opened, KindMismatch for an end frame without an attempt
// and a refusal, a refusal of the peer, and errors of the handler.
func (p *peer) Fetch(ctx context.Context, fetch *clemwire.Fetch, handler func(*clemwire.Frame) error) error {
	response, err := p.requestAnswer(ctx, fetch)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return clementineturn.Errorf(clementineturn.KindCut, "peer %s: %s", p.address, response.Status)
	}
	reader := bufio.NewReader(response.Body)
	err = p.readFrames(ctx, reader, handler)
	if err == nil {
		// The transport reuses the connection only after the body was read to its
		// end.
		_, _ = reader.ReadByte()
	}
	return err
}

// readFrames passes frames to the handler until the end frame or an error.
func (p *peer) readFrames(ctx context.Context, reader *bufio.Reader, handler func(*clemwire.Frame) error) error {
	frame := &clemwire.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageSize}
	for {
		proto.Reset(frame)
		if err := options.UnmarshalFrom(reader, frame); err != nil {
			if ctx.Err() != nil {
				return clementineturn.AsError(ctx.Err())
			}
			return clementineturn.Errorf(clementineturn.KindCut, "peer %s: answer without an end: %w", p.address, err)
		}
		if frame.GetAttempt() == "" && frame.GetEnd() != nil {
			return fetchError(frame.GetEnd())
		}
		if err := handler(frame); err != nil || frame.GetEnd() != nil {
			return err
		}
	}
}

// fetchError returns the error in an end frame without an attempt, with which the
// peer refuses a fetch.
func fetchError(end *clemwire.End) error {
	if end.GetRefusal() == nil {
		return clementineturn.Errorf(clementineturn.KindMismatch, "an end came without an attempt")
	}
	return clementineturn.FromRefusal(end.GetRefusal())
}

func (p *peer) requestAnswer(ctx context.Context, fetch *clemwire.Fetch) (*http.Response, error) {
	scheme := "http"
	if p.peers.tls != nil {
		scheme = "https"
	}
	query := url.Values{
		"request": {fetch.GetRequest()}, "attempt": {fetch.GetAttempt()},
		"organisation": {fetch.GetOrganisation()}, "from": {strconv.FormatUint(fetch.GetFrom(), 10)},
	}
	target := url.URL{Scheme: scheme, Host: p.address, Path: answersPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "peer %s: %w", p.address, err)
	}
	request.Header.Set("Authorization", bearerPrefix+p.peers.key)
	response, err := p.peers.http.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			return nil, clementineturn.AsError(ctx.Err())
		}
		return nil, clementineturn.Errorf(clementineturn.KindCut, "peer %s: %w", p.address, err)
	}
	return response, nil
}
