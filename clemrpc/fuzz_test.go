package clemrpc

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// discardConn reads the fuzzed bytes and discards what is written.
type discardConn struct {
	net.Conn
	io.Reader
}

func (c *discardConn) Read(p []byte) (int, error)     { return c.Reader.Read(p) }
func (*discardConn) Write(p []byte) (int, error)      { return len(p), nil }
func (*discardConn) Close() error                     { return nil }
func (*discardConn) SetWriteDeadline(time.Time) error { return nil }

func encodeDelimited(messages ...proto.Message) []byte {
	var buffer bytes.Buffer
	for _, message := range messages {
		_, _ = protodelim.MarshalTo(&buffer, message)
	}
	return buffer.Bytes()
}

// FuzzServe passes arbitrary bytes of a connection to the server's codec, which must
// neither panic nor hang.
func FuzzServe(f *testing.F) {
	call := encodeDelimited(&clemwire.Head{Method: "Peer.Offer", Seq: 1}, &clemwire.Offer{Attempt: "a", Body: []byte("{}")})
	f.Add(call)
	f.Add(call[:len(call)-1])
	f.Add(encodeDelimited(&clemwire.Head{Method: "Peer.None", Seq: 1}, &clemwire.Probe{}))
	f.Add(encodeDelimited(&clemwire.Head{Method: "none"}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) {
		server := NewServer(ServerConfig{Context: context.Background(), Key: testKey, Peer: &fakePeer{offer: accept}})
		defer server.Close()
		conn := &discardConn{Reader: bytes.NewReader(data)}
		server.rpc.ServeCodec(&serverCodec{newStream(conn, bufio.NewReader(conn))})
	})
}

// FuzzReply passes arbitrary bytes of a server to the client's codec, which must end
// the pending call.
func FuzzReply(f *testing.F) {
	f.Add(encodeDelimited(&clemwire.Head{Method: "Peer.Offer", Seq: 0}, &clemwire.Verdict{}))
	f.Add(encodeDelimited(&clemwire.Head{Seq: 0, Error: "{}"}, &clemwire.Probe{}))
	f.Add(encodeDelimited(&clemwire.Head{Seq: 9}))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader, writer := io.Pipe()
		conn := &discardConn{Reader: reader}
		client := rpc.NewClientWithCodec(&clientCodec{newStream(conn, bufio.NewReader(conn))})
		call := client.Go("Peer.Offer", &clemwire.Offer{}, &clemwire.Verdict{}, make(chan *rpc.Call, 1))
		_, _ = writer.Write(data)
		require.NoError(t, writer.Close())
		<-call.Done
	})
}

// FuzzReadFrames passes arbitrary bytes of an answer's body to the frame reader. If it
// returns no error, the last frame must be an end frame.
func FuzzReadFrames(f *testing.F) {
	end := &clemwire.Frame{Attempt: "r.1", End: &clemwire.End{}}
	f.Add(encodeDelimited(frame(0), frame(1), end))
	f.Add(encodeDelimited(frame(0), frame(1)))
	f.Add(encodeDelimited(&clemwire.Frame{End: &clemwire.End{}}))
	f.Add(encodeDelimited(&clemwire.Frame{End: &clemwire.End{Refusal: &clemwire.Refusal{Kind: "none"}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var last *clemwire.Frame
		err := (&peer{}).readFrames(t.Context(), bufio.NewReader(bytes.NewReader(data)), func(frame *clemwire.Frame) error {
			last = frame
			return nil
		})
		if err != nil {
			require.NotNil(t, clementineturn.AsError(err))
			return
		}
		require.NotNil(t, last.GetEnd())
	})
}
