package clemrouter

import (
	"context"
	"slices"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemorigin"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

// isResumed reports whether the client takes up a stream that another attempt began.
func (q *request) isResumed() bool {
	return q.route.Kind() == clemroute.KindStream && (q.requestInfo.LastEventID() != "" || q.requestInfo.ResumedID() != "")
}

// findOrigin finds out which version of the servers' software began a stream that the client
// resumes. Errors: KindUnavailable if that is not known, or if the route no longer sends
// requests to the service.
func (q *request) findOrigin(ctx context.Context) error {
	if !q.isResumed() {
		return nil
	}
	origin, err := q.router.config.Origins.Find(ctx, q.stream, q.service)
	if err != nil {
		return err
	}
	isTarget := func(t clemroute.Target) bool { return t.Service() == origin.Service }
	if !slices.ContainsFunc(q.route.Targets(), isTarget) {
		return clementineturn.Refuse(clementineturn.KindUnavailable, "the stream began at service %s, to which the route sends no requests", origin.Service)
	}
	q.service, q.resumedVersion = origin.Service, origin.Version
	return nil
}

// softwareFilter returns a filter of the versions of the servers' software at which the
// request may run, or nil if it may at all: what two versions write does not fit together. It
// is told whether events were sent, as the stall timer must not read that from the request.
func (q *request) softwareFilter(isStarted bool) func(version string) bool {
	switch {
	case isStarted && q.route.Resumable():
		return q.router.config.Origins.Resume(q.stream)
	case q.isResumed():
		return func(version string) bool { return version == q.resumedVersion }
	case q.route.Kind() != clemroute.KindStream || !q.route.Resumable():
		return nil
	}
	return q.router.config.Origins.Begin(q.service)
}

// recordOrigin records where the stream begins or goes on, before its first event is sent.
func (q *request) recordOrigin(lease *clempool.Lease) {
	if q.route.Resumable() && (q.lastServer != lease.Server() || !q.isStarted) {
		q.lastServer = lease.Server()
		q.router.config.Origins.Record(q.stream, clemorigin.Origin{Service: q.service, Version: lease.SoftwareVersion()}, lease.Server())
	}
}
