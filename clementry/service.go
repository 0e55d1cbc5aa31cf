package clementry

import (
	"context"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerContentType    = "Content-Type"
	// serviceCallTokens is the estimated work of a service call, in tokens.
	serviceCallTokens = 1
)

var (
	callPattern        = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	contentTypePattern = regexp.MustCompile(`^[\x20-\x7e]{0,255}$`)
	keyPattern         = regexp.MustCompile(`^[\x21-\x7e]{1,255}$`)
)

func (e *Entry) handleService(ctx context.Context, c *callerRequest) error {
	name, method := chi.URLParam(c.r, "service"), chi.URLParam(c.r, "call")
	if !callPattern.MatchString(method) {
		return clementineturn.Invalid("call", "found %q, allowed are 1 to 63 of a-z, 0-9, '.', '_' and '-'", method)
	}
	key := c.r.Header.Get(headerIdempotencyKey)
	if key != "" && !keyPattern.MatchString(key) {
		return clementineturn.Invalid(headerIdempotencyKey, "allowed are 1 to 255 visible ASCII characters")
	}
	contentType := c.r.Header.Get(headerContentType)
	if !contentTypePattern.MatchString(contentType) {
		return clementineturn.Invalid(headerContentType, "allowed are up to 255 printable ASCII characters")
	}
	body, err := e.readBody(c)
	if err != nil {
		return err
	}
	build := func(state *clemconfig.State) (*plan, error) {
		service := state.Service(name)
		if service == nil {
			return nil, clementineturn.NewError(clementineturn.ErrorConfig{
				Kind: clementineturn.KindNotFound, Field: "service", Message: "no service " + strconv.Quote(name), NotRun: true,
			})
		}
		mode := clemwire.Mode_MODE_AT_MOST_ONCE
		if rule := state.Rule(name, method); rule != nil {
			mode = rule.GetMode()
		}
		if mode == clemwire.Mode_MODE_AT_MOST_ONCE && key == "" {
			return nil, clementineturn.NewError(clementineturn.ErrorConfig{
				Kind: clementineturn.KindKeyMissing, Field: headerIdempotencyKey, NotRun: true,
				Message: name + "/" + method + " runs at most once and needs the header",
			})
		}
		return &plan{offer: &clemwire.Offer{
			Pool: service.GetPool(), Service: name, Call: method, Media: contentType, Body: body,
			Mode: mode, Key: key, Conversation: affinityDigest(key, body), Prompt: serviceCallTokens,
		}}, nil
	}
	rule := e.config.Board.Config().Get().Rule(name, method)
	return e.serveTask(ctx, c, newTask(c.requestID, c.organisation.GetName(), build), rule.GetTimeout().AsDuration())
}

// affinityDigest returns the digest that ranks the backend servers of a call.
// Retries with a key are routed to the backend server that holds its claim;
// calls without a key are spread by their body.
func affinityDigest(key string, body []byte) uint64 {
	if key != "" {
		return xxhash.Sum64String(key)
	}
	return xxhash.Sum64(body)
}
