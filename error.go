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
	// Kind is the error's kind.
	Kind Kind
	// Field is the path of the invalid field, header or setting, or "".
	Field string
	// Message is the text without kind and field.
	Message string
	// NotRun is set if the work is known not to have reached a backend server.
	NotRun bool
	// RetryAfter is the time after which a retry may succeed, or 0 for that of
	// the kind.
	RetryAfter time.Duration
	// Cause is the error that Unwrap returns, or nil.
	Cause error
}

// Error is an error of one of the kinds. Errors that cross a process boundary
// are Errors; others are converted by AsError.
type Error struct {
	kind       Kind
	field      string
	message    string
	notRun     bool
	retryAfter time.Duration
	cause      error
}

// NewError returns an Error for the configuration.
func NewError(c ErrorConfig) *Error {
	if c.RetryAfter == 0 {
		c.RetryAfter = c.Kind.Info().RetryAfter()
	}
	return &Error{kind: c.Kind, field: c.Field, message: c.Message, notRun: c.NotRun, retryAfter: c.RetryAfter, cause: c.Cause}
}

// Errorf returns an error of the kind with a formatted message. The operand of
// a single %w verb becomes the cause.
func Errorf(kind Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return NewError(ErrorConfig{Kind: kind, Message: err.Error(), Cause: errors.Unwrap(err)})
}

// Refuse is like Errorf and sets NotRun: the work was refused before any of it
// reached a backend server.
func Refuse(kind Kind, format string, args ...any) *Error {
	e := Errorf(kind, format, args...)
	e.notRun = true
	return e
}

// Invalid returns a KindInvalid error for the field, with NotRun set.
func Invalid(field, format string, args ...any) *Error {
	e := Refuse(KindInvalid, format, args...)
	e.field = field
	return e
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Field returns the path of the invalid field, header or setting, or "".
func (e *Error) Field() string { return e.field }

// Message returns the error's text without kind and field.
func (e *Error) Message() string { return e.message }

// NotRun reports whether the work is known not to have reached a backend
// server, so that even an at-most-once call may be sent again.
func (e *Error) NotRun() bool { return e.notRun }

// RetryAfter returns the time after which a retry may succeed, or 0 if the kind
// calls for none.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error returns kind, field if there is one, and message, separated by ": ".
func (e *Error) Error() string {
	if e.field == "" {
		return e.kind.String() + ": " + e.message
	}
	return e.kind.String() + ": " + e.field + ": " + e.message
}

// Refusal returns the wire form of the error. The cause is left out.
func (e *Error) Refusal() *clemwire.Refusal {
	return &clemwire.Refusal{
		Kind: e.kind.String(), Field: e.field, Message: e.message,
		NotRun: e.notRun, Retry: durationpb.New(e.retryAfter),
	}
}

// FromRefusal returns the error of a wire form, or nil for nil. A kind that
// this version does not know becomes KindInternal.
func FromRefusal(r *clemwire.Refusal) *Error {
	if r == nil {
		return nil
	}
	kind, _ := ParseKind(r.GetKind())
	return NewError(ErrorConfig{
		Kind: kind, Field: r.GetField(), Message: r.GetMessage(),
		NotRun: r.GetNotRun(), RetryAfter: r.GetRetry().AsDuration(),
	})
}

// AsError returns the first Error in err's chain. Without one, context errors
// become KindTimeout and KindCancelled, and any other error KindInternal. It
// returns nil for nil.
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

// IsKind reports whether the first Error in err's chain is of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == kind
}

// IsNotRun reports whether the first Error in err's chain has NotRun set.
func IsNotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.notRun
}
