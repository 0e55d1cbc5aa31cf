package clemsoak

import (
	"fmt"
	"slices"
	"strings"

	"github.com/clementineturn/clementineturn/clemstandin"
)

// receivedStream is what a client has received of a stream.
type receivedStream struct {
	// events is the number of events, and versions holds the versions of the servers' software
	// that sent them, in order.
	events   int
	versions []string
}

// checkEvents checks a stream and reports whether it is complete.
func (o *observer) checkEvents(r *sentRequest, response clemstandin.ClientResponse) bool {
	events := strings.Split(response.Body, "\n\n")
	rest := events[len(events)-1]
	events = events[:len(events)-1]
	for _, event := range events {
		r.stream.events++
		want := fmt.Sprintf("id: %d\ndata: %s %d ", r.stream.events, r.call.RequestID, r.stream.events)
		version, isNext := strings.CutPrefix(event, want)
		o.checkLocked(PromiseStreamOrder, isNext, "%s got %q in place of %q", r.call.RequestID, event, want)
		if !slices.Contains(r.stream.versions, version) {
			r.stream.versions = append(r.stream.versions, version)
		}
	}
	o.checkLocked(PromiseOneVersion, len(r.stream.versions) < 2, "%s, which resumes %q, got events of the versions %q", r.call.RequestID, r.call.ResumedID, r.stream.versions)
	isComplete := r.stream.events == r.kind.events() && rest == ""
	o.checkLocked(PromiseStreamOrder, response.Err != nil || isComplete, "%s ended as complete after %d of %d events and %q", r.call.RequestID, r.stream.events, r.kind.events(), rest)
	return response.Err == nil && isComplete
}
