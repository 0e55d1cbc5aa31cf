package clementry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemburn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemquota"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	bearerPrefix = "Bearer "
	// writeGrace is how long after a request's deadline its error may still be
	// written to the caller.
	writeGrace = 5 * time.Second
)

// Mount adds the callers' routes to the router.
func (e *Entry) Mount(router chi.Router) {
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", e.handleReady)
	router.Get("/v1/models", e.authenticated(e.handleModels))
	router.Post("/v1/chat/completions", e.authenticated(e.handleChat))
	router.Post("/v1/services/{service}/{call}", e.authenticated(e.handleService))
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, clementineturn.Refuse(clementineturn.KindNotFound, "no path %s", r.URL.Path))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, clementineturn.Refuse(clementineturn.KindNotFound, "no method %s on %s", r.Method, r.URL.Path))
	})
}

func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	if e.config.Board.Config().Get() == nil || e.config.Board.Members().Get() == nil || e.config.Board.Drain().Get().Active() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// callerRequest is one request of a caller with its response and what logs and
// metrics record of it.
type callerRequest struct {
	organisation *clemwire.Organisation
	pool         string
	requestID    string
	w            http.ResponseWriter
	r            *http.Request
	started      time.Time
	response     *callerResponse
}

// authenticated wraps a handler: it authenticates the caller, reserves memory,
// and answers and records the outcome.
func (e *Entry) authenticated(handle func(ctx context.Context, c *callerRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.activeRequests.Add(1)
		defer e.activeRequests.Add(-1)
		c := &callerRequest{requestID: rand.Text(), w: w, r: r, started: time.Now(), response: newCallerResponse(w, clemquota.FromContext(r.Context()))}
		w.Header().Set(headerRequest, c.requestID)
		organisation, err := e.authenticate(r)
		if err == nil {
			c.organisation = organisation
			err = e.admit(c, handle)
		}
		e.finish(c, err)
	}
}

// admit runs the handler if the memory budget admits the request.
func (e *Entry) admit(c *callerRequest, handle func(ctx context.Context, c *callerRequest) error) error {
	bytes := requestMemory(c.r, e.config.MaxBodyBytes)
	if err := e.memory.acquire(c.organisation.GetName(), bytes); err != nil {
		return err
	}
	defer e.memory.release(c.organisation.GetName(), bytes)
	return handle(c.r.Context(), c)
}

// authenticate returns the organisation whose key the request carries.
func (e *Entry) authenticate(r *http.Request) (*clemwire.Organisation, error) {
	state := e.config.Board.Config().Get()
	if state == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnready, "no configuration is held yet")
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return nil, clementineturn.Refuse(clementineturn.KindUnauthenticated, "an Authorization header with a bearer key is needed")
	}
	digest := sha256.Sum256([]byte(secret))
	organisation := state.OrganisationByKey(digest[:])
	if organisation == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnauthenticated, "no organisation holds the key")
	}
	return organisation, nil
}

// finish sends the error, if there is one, and records the request.
func (e *Entry) finish(c *callerRequest, err error) {
	failure := clementineturn.AsError(err)
	if failure != nil {
		// Deferred, since it panics to abort an answer that was partly sent.
		defer c.sendError(failure)
	}
	now := time.Now()
	kind := "ok"
	if failure != nil {
		kind = failure.Kind().String()
	}
	e.config.Metrics.Counter("requests", "kind", kind).Inc(1)
	e.config.Metrics.Timer("request_time").Update(now.Sub(c.started))
	if c.organisation != nil && c.pool != "" {
		e.record(c, failure, now)
	}
	e.config.Events.Emit(clemevent.RequestEnded, zap.String("request", c.requestID), zap.String("organisation", c.organisation.GetName()),
		zap.String("pool", c.pool), zap.String("kind", kind), zap.Duration("took", now.Sub(c.started)), zap.NamedError("error", errorOrNil(failure)))
}

// record counts the request for the service-level report. Errors that the
// caller caused, such as a malformed request or a disconnect, are not counted.
func (e *Entry) record(c *callerRequest, failure *clementineturn.Error, now time.Time) {
	failed := false
	if failure != nil {
		status := failure.Kind().Info().Status()
		if failure.Kind() == clementineturn.KindCancelled || (status < http.StatusInternalServerError && status != http.StatusTooManyRequests) {
			return
		}
		failed = true
	}
	first := now
	if out := c.response.currentWriter(); out != nil && out.statusSent {
		first = out.firstByteTime
	}
	objective := clemburn.Objective(e.config.Board.Config().Get(), c.organisation.GetName(), c.pool)
	e.config.Burn.Record(now, c.organisation.GetName(), c.pool, failed, first.Sub(c.started), objective.GetFirst().AsDuration())
}

// sendError sends an error to the caller. If a part of the answer has been
// sent, an event stream gets an error event in place of [DONE] and any other
// answer is aborted.
func (c *callerRequest) sendError(e *clementineturn.Error) {
	out := c.response.currentWriter()
	if out == nil || !out.statusSent {
		writeError(c.w, e)
		return
	}
	if !out.isEventStream {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(c.w, "data: %s\n\n", errorBody(e))
	_ = c.response.controller.Flush()
}

// openAIError is the error object of the OpenAI API.
type openAIError struct {
	Error openAIErrorBody `json:"error"`
}

type openAIErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	NotRun  bool    `json:"not_run"`
}

func errorBody(e *clementineturn.Error) []byte {
	body := openAIErrorBody{Message: e.Message(), Type: e.Kind().Info().OpenAIType(), Code: e.Kind().String(), NotRun: e.NotRun()}
	if field := e.Field(); field != "" {
		body.Param = &field
	}
	text, err := json.Marshal(openAIError{body})
	if err != nil {
		return []byte(`{"error":{"message":"internal","type":"server_error","param":null,"code":"internal"}}`)
	}
	return text
}

func writeError(w http.ResponseWriter, e *clementineturn.Error) {
	w.Header().Set("Content-Type", "application/json")
	if retry := e.RetryAfter(); retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, retry.Round(time.Second)/time.Second))))
	}
	w.WriteHeader(e.Kind().Info().Status())
	_, _ = w.Write(errorBody(e))
}

func errorOrNil(e *clementineturn.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// readBody reads the request's body up to the configured limit.
func (e *Entry) readBody(c *callerRequest) ([]byte, error) {
	if c.r.ContentLength > e.config.MaxBodyBytes {
		return nil, tooLarge(e.config.MaxBodyBytes)
	}
	hold := clemquota.FromContext(c.r.Context())
	data, err := hold.ReadAll(http.MaxBytesReader(c.w, c.r.Body, e.config.MaxBodyBytes), c.r.ContentLength, e.config.MaxBodyBytes)
	if err == nil || hold.IsEvicted() {
		// From now on the request may be dispatched and is not evicted.
		err = hold.Pin()
	}
	var large *http.MaxBytesError
	switch {
	case hold.IsEvicted():
		c.w.Header().Set("Connection", "close")
		return nil, err
	case errors.As(err, &large):
		return nil, tooLarge(large.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, clementineturn.Invalid("body", "the body did not arrive in time")
	case err != nil:
		return nil, clementineturn.Invalid("body", "reading failed: %v", err)
	}
	return data, nil
}

func tooLarge(limit int64) error {
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindTooLarge, Field: "body", NotRun: true,
		Message: fmt.Sprintf("the body is larger than %d bytes", limit),
	})
}

// setWriteDeadline bounds writes to a caller that does not read to writeGrace
// after the request's deadline.
func (c *callerRequest) setWriteDeadline(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.response.controller.SetWriteDeadline(deadline.Add(writeGrace))
	}
}

// serveTask serves the task within the timeout, or the default timeout if it
// is 0.
func (e *Entry) serveTask(ctx context.Context, c *callerRequest, t *task, timeout time.Duration) error {
	if timeout <= 0 {
		timeout = e.config.DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.setWriteDeadline(ctx)
	err := e.router.serve(ctx, t, c.response)
	c.pool = t.plannedPool()
	return err
}
