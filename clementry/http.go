package clementry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	bearer = "Bearer "
	// writeGrace is the time past a request's deadline to tell the caller of its end.
	writeGrace = 5 * time.Second
)

// Mount adds the callers' paths to the router.
func (e *Entry) Mount(router chi.Router) {
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", e.ready)
	router.Get("/v1/models", e.caller(e.models))
	router.Post("/v1/chat/completions", e.caller(e.chat))
	router.Post("/v1/services/{service}/{call}", e.caller(e.service))
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, clementineturn.Refuse(clementineturn.KindNotFound, "no path %s", r.URL.Path))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, clementineturn.Refuse(clementineturn.KindNotFound, "no method %s on %s", r.Method, r.URL.Path))
	})
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.config.Board.Config().Get() == nil || e.config.Board.Members().Get() == nil || e.config.Board.Drain().Get().Active() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// call is one caller's request: who asks, and what is known of it for the records.
type call struct {
	organisation *clemwire.Organisation
	pool         string
	request      string
	w            http.ResponseWriter
	r            *http.Request
	begun        time.Time
	floor        *floor
}

// caller authenticates and records a request around its handler.
func (e *Entry) caller(handle func(ctx context.Context, c *call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		defer e.active.Add(-1)
		c := &call{request: rand.Text(), w: w, r: r, begun: time.Now(), floor: newFloor(w)}
		w.Header().Set(headerRequest, c.request)
		organisation, err := e.authenticate(r)
		if err == nil {
			c.organisation = organisation
			err = e.admit(c, handle)
		}
		e.finish(c, err)
	}
}

// admit runs the handler if the ration has room for the request.
func (e *Entry) admit(c *call, handle func(ctx context.Context, c *call) error) error {
	bytes := cost(c.r, e.config.Body)
	if err := e.ration.take(c.organisation.GetName(), bytes); err != nil {
		return err
	}
	defer e.ration.give(c.organisation.GetName(), bytes)
	return handle(c.r.Context(), c)
}

// authenticate returns the organisation whose key the request carries.
func (e *Entry) authenticate(r *http.Request) (*clemwire.Organisation, error) {
	state := e.config.Board.Config().Get()
	if state == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnready, "no configuration is held yet")
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return nil, clementineturn.Refuse(clementineturn.KindUnauthenticated, "an Authorization header with a bearer key is needed")
	}
	digest := sha256.Sum256([]byte(secret))
	organisation := state.Holder(digest[:])
	if organisation == nil {
		return nil, clementineturn.Refuse(clementineturn.KindUnauthenticated, "no organisation holds the key")
	}
	return organisation, nil
}

// finish answers an error, if nothing was sent, and records the request.
func (e *Entry) finish(c *call, err error) {
	failure := clementineturn.AsError(err)
	if failure != nil {
		// Last, since it panics to cut an answer off.
		defer c.fail(failure)
	}
	now := time.Now()
	kind := "ok"
	if failure != nil {
		kind = failure.Kind().String()
	}
	e.config.Metrics.Counter("requests", "kind", kind).Inc(1)
	e.config.Metrics.Timer("request_time").Update(now.Sub(c.begun))
	if c.organisation != nil && c.pool != "" {
		e.record(c, failure, now)
	}
	e.config.Events.Emit(clemevent.RequestEnded, zap.String("request", c.request), zap.String("organisation", c.organisation.GetName()),
		zap.String("pool", c.pool), zap.String("kind", kind), zap.Duration("took", now.Sub(c.begun)), zap.NamedError("error", errorOrNil(failure)))
}

// record counts the request for the service-level report. What the caller
// caused, a malformed request or a hang-up, is no failure of the service.
func (e *Entry) record(c *call, failure *clementineturn.Error, now time.Time) {
	failed := false
	if failure != nil {
		status := failure.Kind().Info().Status()
		if failure.Kind() == clementineturn.KindCancelled || (status < http.StatusInternalServerError && status != http.StatusTooManyRequests) {
			return
		}
		failed = true
	}
	first := now
	if out := c.floor.owner(); out != nil && out.sent {
		first = out.first
	}
	objective := clemburn.Objective(e.config.Board.Config().Get(), c.organisation.GetName(), c.pool)
	e.config.Burn.Record(now, c.organisation.GetName(), c.pool, failed, first.Sub(c.begun), objective.GetFirst().AsDuration())
}

// fail tells the caller of an error. After a part of the answer was sent an
// event stream gets an error event and no [DONE]; anything else is cut off.
func (c *call) fail(e *clementineturn.Error) {
	out := c.floor.owner()
	if out == nil || !out.sent {
		writeError(c.w, e)
		return
	}
	if !out.events {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(c.w, "data: %s\n\n", errorBody(e))
	_ = c.floor.controller.Flush()
}

// openAIError is the error form of the OpenAI API.
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
	body := openAIErrorBody{Message: e.Message(), Type: e.Kind().Info().Family(), Code: e.Kind().String(), NotRun: e.NotRun()}
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
	if retry := e.Retry(); retry > 0 {
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

// body reads the request's body up to the limit.
func (e *Entry) body(c *call) ([]byte, error) {
	if c.r.ContentLength > e.config.Body {
		return nil, tooLarge(e.config.Body)
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, e.config.Body))
	var large *http.MaxBytesError
	switch {
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

// bound ends writes to a caller that no longer reads, a little after the
// request's deadline.
func (c *call) bound(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.floor.controller.SetWriteDeadline(deadline.Add(writeGrace))
	}
}

// run serves the task within its deadline.
func (e *Entry) run(ctx context.Context, c *call, t *task, timeout time.Duration) error {
	if timeout <= 0 {
		timeout = e.config.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.bound(ctx)
	err := e.router.serve(ctx, t, c.floor)
	c.pool = t.planned()
	return err
}
