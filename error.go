package clementineturn

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/clementineturn/clementineturn/clemwire"
)

// ErrorConfig describes an Error to construct.
type ErrorConfig struct {
	Kind    Kind
	Field   string
	Message string
	NotRun  bool
	Retry   time.Duration
	Cause   error
}

// Error is an error of the closed list.
type Error struct {
	kind    Kind
	field   string
	message string
	notRun  bool
	retry   time.Duration
	cause   error
}

// NewError returns the error that the configuration describes. Without a
// retry time it takes the kind's.
func NewError(c ErrorConfig) *Error {
	if c.Retry == 0 {
		c.Retry = c.Kind.Info().Retry()
	}
	return &Error{kind: c.Kind, field: c.Field, message: c.Message, notRun: c.NotRun, retry: c.Retry, cause: c.Cause}
}

// Errorf returns an error of the kind with a formatted message. A %w verb sets the cause.
func Errorf(kind Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return NewError(ErrorConfig{Kind: kind, Message: err.Error(), Cause: errors.Unwrap(err)})
}

// Refuse returns an error of the kind that says the work was not run.
func Refuse(kind Kind, format string, args ...any) *Error {
	e := Errorf(kind, format, args...)
	e.notRun = true
	return e
}

// Invalid returns a KindInvalid error that names the field. Work it refuses was not run.
func Invalid(field, format string, args ...any) *Error {
	e := Refuse(KindInvalid, format, args...)
	e.field = field
	return e
}

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Field returns the path of the offending field, if there is one.
func (e *Error) Field() string { return e.field }

// Message returns the text without kind and field.
func (e *Error) Message() string { return e.message }

// NotRun reports whether the work is known never to have reached a backend server.
func (e *Error) NotRun() bool { return e.notRun }

// Retry returns the time after which a repeat makes sense, or 0.
func (e *Error) Retry() time.Duration { return e.retry }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns kind, field and message.
func (e *Error) Error() string {
	if e.field == "" {
		return e.kind.String() + ": " + e.message
	}
	return e.kind.String() + ": " + e.field + ": " + e.message
}

// Refusal returns the error in its wire form.
func (e *Error) Refusal() *clemwire.Refusal {
	return &clemwire.Refusal{
		Kind: e.kind.String(), Field: e.field, Message: e.message,
		NotRun: e.notRun, Retry: durationpb.New(e.retry),
	}
}

// FromRefusal returns the error of a wire form, or nil for nil.
func FromRefusal(r *clemwire.Refusal) *Error {
	if r == nil {
		return nil
	}
	kind, _ := ParseKind(r.GetKind())
	return NewError(ErrorConfig{
		Kind: kind, Field: r.GetField(), Message: r.GetMessage(),
		NotRun: r.GetNotRun(), Retry: r.GetRetry().AsDuration(),
	})
}

// AsError returns err as an error of the closed list. Context errors become
// KindTimeout and KindCancelled, anything else KindInternal. It returns nil for nil.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return NewError(ErrorConfig{Kind: KindTimeout, Message: "deadline exceeded", Cause: err})
	case errors.Is(err, context.Canceled):
		return NewError(ErrorConfig{Kind: KindCancelled, Message: "cancelled", Cause: err})
	}
	return NewError(ErrorConfig{Kind: KindInternal, Message: err.Error(), Cause: err})
}

// IsKind reports whether err is an error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == kind
}

// IsNotRun reports whether err says that the work never reached a backend server.
func IsNotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.notRun
}
