package clementry

import (
	"context"
	"regexp"
	"strconv"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const headerEvent = "Last-Event-ID"

// eventPattern matches the id of an event: request and number of the attempt,
// the backend server that ran it, and the frame.
var eventPattern = regexp.MustCompile(`^([A-Z2-7]{26})\.([0-9]{1,6})/([A-Za-z0-9][A-Za-z0-9._-]{0,252})/([0-9]{1,20})$`)

// eventID is the id of an event of a streamed answer. Any entry can find the
// rest of the answer by it.
type eventID struct {
	request string
	attempt string
	server  string
	seq     uint64
}

func parseEventID(text string) (eventID, error) {
	parts := eventPattern.FindStringSubmatch(text)
	if parts == nil {
		return eventID{}, clementineturn.Invalid(headerEvent, "found %.100q, an id of an event of this API is needed", text)
	}
	seq, err := strconv.ParseUint(parts[4], 10, 63)
	if err != nil {
		return eventID{}, clementineturn.Invalid(headerEvent, "found %.100q, its number is too large", text)
	}
	return eventID{request: parts[1], attempt: parts[1] + "." + parts[2], server: parts[3], seq: seq}, nil
}

// resume takes up a stream after the event that the caller saw last.
func (e *Entry) resume(ctx context.Context, c *call, text string) error {
	id, err := parseEventID(text)
	if err != nil {
		return err
	}
	// net/http notices a caller that hangs up only once the body is read.
	if _, err := e.body(c); err != nil {
		return err
	}
	c.request = id.request
	c.w.Header().Set(headerRequest, id.request)
	host := e.sidecar(id.server)
	if host == nil {
		return clementineturn.Errorf(clementineturn.KindEvicted, "no answer of %q is held", text)
	}
	c.pool = host.GetPool()
	s := &session{host: host, peer: e.config.Peers.Peer(host.GetAddress()), offer: &clemwire.Offer{
		Request: id.request, Attempt: id.attempt, Organisation: c.organisation.GetName(), Mode: clemwire.Mode_MODE_IDEMPOTENT,
	}}
	ctx, cancel := context.WithTimeout(ctx, e.config.Deadline)
	defer cancel()
	c.bound(ctx)
	out := c.floor.output()
	out.resume(id.server, id.seq+1)
	err = e.router.relay(ctx, s, out)
	if err != nil && out.complete && !clementineturn.IsKind(err, clementineturn.KindInvalid) {
		// The answer itself ended in an error: no later resume can complete it.
		return clementineturn.Errorf(clementineturn.KindEvicted, "the answer cannot be completed: %w", err)
	}
	return err
}

// sidecar returns the host of a backend server, or nil. A server that takes no
// new work still holds its answers.
func (e *Entry) sidecar(server string) *clemwire.Host {
	members := e.config.Board.Members().Get()
	if members == nil {
		return nil
	}
	host := members.Known(server)
	if host.GetPool() == "" {
		return nil
	}
	return host
}
