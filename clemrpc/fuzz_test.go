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

// sinkConn reads fuzzed bytes and drops what is written.
type sinkConn struct {
	net.Conn
	io.Reader
}

func (c *sinkConn) Read(p []byte) (int, error)     { return c.Reader.Read(p) }
func (*sinkConn) Write(p []byte) (int, error)      { return len(p), nil }
func (*sinkConn) Close() error                     { return nil }
func (*sinkConn) SetWriteDeadline(time.Time) error { return nil }

func delimited(messages ...proto.Message) []byte {
	var buffer bytes.Buffer
	for _, message := range messages {
		_, _ = protodelim.MarshalTo(&buffer, message)
	}
	return buffer.Bytes()
}

// FuzzServe feeds a connection's bytes to the server's codec: it must neither
// panic nor hang, and reach the peer only with whole calls.
func FuzzServe(f *testing.F) {
	call := delimited(&clemwire.Head{Method: "Peer.Offer", Seq: 1}, &clemwire.Offer{Attempt: "a", Body: []byte("{}")})
	f.Add(call)
	f.Add(call[:len(call)-1])
	f.Add(delimited(&clemwire.Head{Method: "Peer.None", Seq: 1}, &clemwire.Probe{}))
	f.Add(delimited(&clemwire.Head{Method: "none"}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) {
		server := NewServer(ServerConfig{Context: context.Background(), Key: key, Peer: &fakePeer{offer: accept}})
		defer server.Close()
		conn := &sinkConn{Reader: bytes.NewReader(data)}
		server.rpc.ServeCodec(&serverCodec{newStream(conn, bufio.NewReader(conn))})
	})
}

// FuzzReply feeds the bytes of a server to the client's codec.
func FuzzReply(f *testing.F) {
	f.Add(delimited(&clemwire.Head{Method: "Peer.Offer", Seq: 0}, &clemwire.Verdict{}))
	f.Add(delimited(&clemwire.Head{Seq: 0, Error: "{}"}, &clemwire.Probe{}))
	f.Add(delimited(&clemwire.Head{Seq: 9}))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader, writer := io.Pipe()
		conn := &sinkConn{Reader: reader}
		client := rpc.NewClientWithCodec(&clientCodec{newStream(conn, bufio.NewReader(conn))})
		call := client.Go("Peer.Offer", &clemwire.Offer{}, &clemwire.Verdict{}, make(chan *rpc.Call, 1))
		_, _ = writer.Write(data)
		require.NoError(t, writer.Close())
		<-call.Done
	})
}

// FuzzReadFrames feeds the body of an answer to the frame reader. Without an
// error the last frame is an end.
func FuzzReadFrames(f *testing.F) {
	end := &clemwire.Frame{Attempt: "r.1", End: &clemwire.End{}}
	f.Add(delimited(frame(0), frame(1), end))
	f.Add(delimited(frame(0), frame(1)))
	f.Add(delimited(&clemwire.Frame{End: &clemwire.End{}}))
	f.Add(delimited(&clemwire.Frame{End: &clemwire.End{Refusal: &clemwire.Refusal{Kind: "none"}}}))
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
