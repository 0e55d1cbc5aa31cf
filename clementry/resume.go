package clementry

import (
	"context"
	"regexp"
	"strconv"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const headerLastEventID = "Last-Event-ID"

// eventIDPattern matches the id of an event: request id, attempt number, backend
// server and frame number.
var eventIDPattern = regexp.MustCompile(`^([A-Z2-7]{26})\.([0-9]{1,6})/([A-Za-z0-9][A-Za-z0-9._-]{0,252})/([0-9]{1,20})$`)

// eventID is the id of an event of a streamed answer. It holds all that an entry
// needs to resume the answer.
type eventID struct {
	requestID string
	attemptID string
	server    string
	seq       uint64
}

func parseEventID(text string) (eventID, error) {
	parts := eventIDPattern.FindStringSubmatch(text)
	if parts == nil {
		return eventID{}, clementineturn.Invalid(headerLastEventID, "found %.100q, an id of an event of this API is needed", text)
	}
	seq, err := strconv.ParseUint(parts[4], 10, 63)
	if err != nil {
		return eventID{}, clementineturn.Invalid(headerLastEventID, "found %.100q, its number is too large", text)
	}
	return eventID{requestID: parts[1], attemptID: parts[1] + "." + parts[2], server: parts[3], seq: seq}, nil
}

// resumeStream resumes a stream after the last event that the caller received.
func (e *Entry) resumeStream(ctx context.Context, c *callerRequest, text string) error {
	id, err := parseEventID(text)
	if err != nil {
		return err
	}
	// net/http detects a disconnect only once the body has been read.
	if _, err := e.readBody(c); err != nil {
		return err
	}
	c.requestID = id.requestID
	c.w.Header().Set(headerRequest, id.requestID)
	host := e.sidecarHost(id.server)
	if host == nil {
		return clementineturn.Errorf(clementineturn.KindEvicted, "no answer of %q is held", text)
	}
	c.pool = host.GetPool()
	accepted := &acceptedAttempt{host: host, peer: e.config.Peers.Peer(host.GetAddress()), offer: &clemwire.Offer{
		Request: id.requestID, Attempt: id.attemptID, Organisation: c.organisation.GetName(), Mode: clemwire.Mode_MODE_IDEMPOTENT,
	}}
	ctx, cancel := context.WithTimeout(ctx, e.config.DefaultTimeout)
	defer cancel()
	c.setWriteDeadline(ctx)
	out := c.response.newAnswerWriter()
	out.resumeAt(id.server, id.seq+1)
	err = e.router.relay(ctx, accepted, out)
	if err != nil && out.complete && !clementineturn.IsKind(err, clementineturn.KindInvalid) {
		// The answer itself ended in an error, so that no later resume completes it.
		return clementineturn.Errorf(clementineturn.KindEvicted, "the answer cannot be completed: %w", err)
	}
	return err
}

// sidecarHost returns the host of a backend server, or nil. A server that takes
// no new work still serves the answers that it holds.
func (e *Entry) sidecarHost(server string) *clemwire.Host {
	members := e.config.Board.Members().Get()
	if members == nil {
		return nil
	}
	host := members.AnyHost(server)
	if host.GetPool() == "" {
		return nil
	}
	return host
}
