package clemops

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

// connectCodes maps every error kind to its Connect code.
var connectCodes = map[clementineturn.Kind]connect.Code{
	clementineturn.KindInternal:        connect.CodeInternal,
	clementineturn.KindInvalid:         connect.CodeInvalidArgument,
	clementineturn.KindUnauthenticated: connect.CodeUnauthenticated,
	clementineturn.KindForbidden:       connect.CodePermissionDenied,
	clementineturn.KindNotFound:        connect.CodeNotFound,
	clementineturn.KindExists:          connect.CodeAlreadyExists,
	clementineturn.KindConflict:        connect.CodeAborted,
	clementineturn.KindTooLarge:        connect.CodeResourceExhausted,
	clementineturn.KindKeyMissing:      connect.CodeInvalidArgument,
	clementineturn.KindKeyReused:       connect.CodeFailedPrecondition,
	clementineturn.KindInProgress:      connect.CodeAborted,
	clementineturn.KindUnknown:         connect.CodeUnknown,
	clementineturn.KindOverloaded:      connect.CodeResourceExhausted,
	clementineturn.KindDraining:        connect.CodeUnavailable,
	clementineturn.KindStale:           connect.CodeFailedPrecondition,
	clementineturn.KindExpired:         connect.CodeDeadlineExceeded,
	clementineturn.KindTimeout:         connect.CodeDeadlineExceeded,
	clementineturn.KindCut:             connect.CodeDataLoss,
	clementineturn.KindMismatch:        connect.CodeDataLoss,
	clementineturn.KindEvicted:         connect.CodeNotFound,
	clementineturn.KindUnavailable:     connect.CodeUnavailable,
	clementineturn.KindUnready:         connect.CodeUnavailable,
	clementineturn.KindCancelled:       connect.CodeCanceled,
	clementineturn.KindSlow:            connect.CodeUnavailable,
	clementineturn.KindQuarantined:     connect.CodeUnavailable,
}

// connectError converts the error to a Connect error. Its detail is a Refusal
// with kind, field and message.
func connectError(err *clementineturn.Error) *connect.Error {
	result := connect.NewError(connectCodes[err.Kind()], errors.New(err.Error()))
	if detail, detailErr := connect.NewErrorDetail(err.Refusal()); detailErr == nil {
		result.AddDetail(detail)
	}
	return result
}

// FromError converts the error that a Connect client returned. The kind is that
// of the error's detail or, without a detail, the one that matches its code. It
// returns nil for nil.
func FromError(err error) *clementineturn.Error {
	var remote *connect.Error
	if err == nil || !errors.As(err, &remote) {
		return clementineturn.AsError(err)
	}
	for _, detail := range remote.Details() {
		value, valueErr := detail.Value()
		if refusal, ok := value.(*clemwire.Refusal); ok && valueErr == nil {
			return clementineturn.FromRefusal(refusal)
		}
	}
	return clementineturn.NewError(clementineturn.ErrorConfig{Kind: kindOfCode(remote.Code()), Message: remote.Message(), Cause: err})
}

// kindOfCode returns the kind of an error that Connect itself created.
func kindOfCode(code connect.Code) clementineturn.Kind {
	switch code {
	case connect.CodeResourceExhausted:
		return clementineturn.KindTooLarge
	case connect.CodeUnavailable:
		return clementineturn.KindUnavailable
	case connect.CodeDeadlineExceeded:
		return clementineturn.KindTimeout
	case connect.CodeUnimplemented:
		return clementineturn.KindNotFound
	}
	for _, kind := range clementineturn.Kinds() {
		if connectCodes[kind] == code {
			return kind
		}
	}
	return clementineturn.KindInternal
}

// intercept logs errors of the handlers and converts them to Connect errors.
func (h *Handler) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		response, err := next(ctx, request)
		if err == nil {
			return response, nil
		}
		e := clementineturn.AsError(err)
		h.events.Emit(
			clemevent.OperatorRequestFailed,
			zap.String("operator", operatorName(ctx)), zap.String("procedure", request.Spec().Procedure), zap.String("request", requestID(request)),
			zap.Stringer("kind", e.Kind()), zap.String("field", e.Field()), zap.String("message", e.Message()),
		)
		return nil, connectError(e)
	}
}

// requestID returns the request's id, or "" if its message has none.
func requestID(request connect.AnyRequest) string {
	if message, ok := request.Any().(interface{ GetId() string }); ok {
		return message.GetId()
	}
	return ""
}

func (h *Handler) recover(ctx context.Context, spec connect.Spec, _ http.Header, value any) error {
	h.events.Emit(
		clemevent.OperatorRequestPanicked,
		zap.String("operator", operatorName(ctx)), zap.String("procedure", spec.Procedure), zap.String("panic", fmt.Sprint(value)), zap.Stack("stack"),
	)
	return connectError(clementineturn.Errorf(clementineturn.KindInternal, "the request failed"))
}
