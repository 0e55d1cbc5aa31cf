package clemrouter

import (
	"context"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clempool"
	"github.com/clementineturn/clementineturn/clemroute"
)

// addWaitCriteria adds what decides on a request to a scarce service.
func (q *request) addWaitCriteria(criteria *clempool.Request) {
	own := q.route.LatencyTarget()
	criteria.OwnTarget, criteria.Deadline, criteria.Bytes = own, q.deadline, len(q.body)
	if own > 0 && q.route.Kind() != clemroute.KindStream {
		// The latency target of a stream applies to its first event, while the time at the
		// servers is that of whole responses. A late stream stands back by its rank.
		criteria.Rank, criteria.OnTimeBy = q.urgency, q.arrived.Add(own-q.waited)
	}
}

// acquireOrWait is acquire for the first attempt, which may wait for a place. The request
// has not been sent anywhere before it returns.
func (q *request) acquireOrWait(ctx context.Context, criteria clempool.Request) (*clempool.Lease, error) {
	began := time.Now()
	if q.router.IsDraining() {
		return q.acquire(criteria, began)
	}
	if err := q.checkSending(began); err != nil {
		return nil, err
	}
	lease, waiter, err := q.router.config.Directory.AcquireOrWait(criteria, began)
	if waiter == nil {
		return lease, err
	}
	if q.router.IsDraining() {
		// Drain may have refused the waiting requests before this one was among them.
		waiter.Cancel(time.Now())
		return nil, q.drainingError("this entry stops while the request waits for a place")
	}
	defer q.router.config.Metrics.Timer(clemmetric.WaitTime, "service", q.service).UpdateSince(began)
	if err := q.wait(ctx, waiter); err != nil {
		return nil, err
	}
	if lease, err = waiter.Result(); err != nil {
		return nil, err
	}
	now := time.Now()
	if err := q.checkSending(now); err != nil {
		lease.Release(clempool.OutcomeWithdrawn, nil, now)
		return nil, err
	}
	return lease, nil
}

// wait returns once there is a result, or with an error if the client has left, the entry
// has ended the request or its deadline has passed.
func (q *request) wait(ctx context.Context, waiter *clempool.Waiter) error {
	now := time.Now()
	timer := time.NewTimer(waiter.CheckAt(now).Sub(now))
	defer timer.Stop()
	for {
		select {
		case <-waiter.Done():
			return nil
		case <-timer.C:
			now := time.Now()
			waiter.Check(now)
			timer.Reset(waiter.CheckAt(now).Sub(now))
		case <-ctx.Done():
			waiter.Cancel(time.Now())
			return q.waitEndedError()
		}
	}
}

// waitEndedError returns the error of a request whose context ended while it waited.
func (q *request) waitEndedError() error {
	switch {
	case q.hasClientLeft():
		return clementineturn.Errorf(clementineturn.KindCancelled, "the client left while the request waited: %w", q.http.Context().Err())
	case q.isStopped():
		return q.stoppedError()
	}
	return clementineturn.Refuse(clementineturn.KindOverloaded, "the deadline passed while the request waited for a place at service %s", q.service)
}
