// Package clemrpc is the transport between the fleet's own processes: net/rpc with
// protobuf messages for calls, and HTTP for answer streams. Entries use it to send
// requests to sidecars and to read their answers, and all processes exchange
// configuration, load and state over it.
package clemrpc

import (
	"bufio"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// writeTimeout bounds a write to a peer that no longer reads, for example a
	// frozen one.
	writeTimeout = 2 * time.Second
	// maxMessageSize is the size in bytes of the largest message that is read.
	maxMessageSize = 32 << 20
)

// appendDelimited appends a message in the format of protodelim. Unlike protodelim
// it allocates no buffer if buffer is large enough.
func appendDelimited(buffer []byte, message proto.Message) ([]byte, error) {
	buffer = protowire.AppendVarint(buffer, uint64(proto.Size(message)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, message)
}

// stream reads and writes length-delimited protobuf messages.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newStream(conn net.Conn, reader *bufio.Reader) *stream {
	return &stream{conn: conn, reader: reader, writer: bufio.NewWriter(conn)}
}

func (s *stream) read(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageSize}.UnmarshalFrom(s.reader, message)
}

// skip reads one message and ignores it.
func (s *stream) skip() error { return s.read(&clemwire.Probe{}) }

func (s *stream) write(head *clemwire.Head, body proto.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(s.writer, head); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(s.writer, body); err != nil {
		return err
	}
	return s.writer.Flush()
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

func asMessage(body any) (proto.Message, error) {
	message, ok := body.(proto.Message)
	if !ok {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "%T is no protobuf message", body)
	}
	return message, nil
}

// trackedRequest is the argument of a call. It records whether the call may have been
// sent, which the errors of net/rpc leave open: rpc.ErrShutdown is returned in both
// cases.
type trackedRequest struct {
	message   proto.Message
	isWritten atomic.Bool
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*stream
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if request, ok := body.(*trackedRequest); ok {
		request.isWritten.Store(true)
		body = request.message
	}
	message, err := asMessage(body)
	if err != nil {
		return err
	}
	if err := c.write(&clemwire.Head{Method: r.ServiceMethod, Seq: r.Seq}, message); err != nil {
		// After a partly written request the connection is unusable.
		_ = c.conn.Close()
		return err
	}
	return nil
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	head := &clemwire.Head{}
	if err := c.read(head); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = head.GetMethod(), head.GetSeq(), head.GetError()
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error {
	if body == nil {
		return c.skip()
	}
	message, err := asMessage(body)
	if err != nil {
		return err
	}
	return c.read(message)
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*stream
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	head := &clemwire.Head{}
	if err := c.read(head); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = head.GetMethod(), head.GetSeq()
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error {
	if body == nil {
		return c.skip()
	}
	message, err := asMessage(body)
	if err != nil {
		return err
	}
	return c.read(message)
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	message, ok := body.(proto.Message)
	if !ok || r.Error != "" {
		message = &clemwire.Probe{}
	}
	if err := c.write(&clemwire.Head{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, message); err != nil {
		_ = c.conn.Close()
		return err
	}
	return nil
}
