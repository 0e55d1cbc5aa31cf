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
	headerKey   = "Idempotency-Key"
	headerMedia = "Content-Type"
	// callCost is the work, in tokens, that a call of a plain service counts as.
	callCost = 1
)

var (
	callPattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	mediaPattern = regexp.MustCompile(`^[\x20-\x7e]{0,255}$`)
	keyPattern   = regexp.MustCompile(`^[\x21-\x7e]{1,255}$`)
)

func (e *Entry) service(ctx context.Context, c *call) error {
	name, method := chi.URLParam(c.r, "service"), chi.URLParam(c.r, "call")
	if !callPattern.MatchString(method) {
		return clementineturn.Invalid("call", "found %q, allowed are 1 to 63 of a-z, 0-9, '.', '_' and '-'", method)
	}
	key := c.r.Header.Get(headerKey)
	if key != "" && !keyPattern.MatchString(key) {
		return clementineturn.Invalid(headerKey, "allowed are 1 to 255 visible ASCII characters")
	}
	media := c.r.Header.Get(headerMedia)
	if !mediaPattern.MatchString(media) {
		return clementineturn.Invalid(headerMedia, "allowed are up to 255 printable ASCII characters")
	}
	body, err := e.body(c)
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
				Kind: clementineturn.KindKeyMissing, Field: headerKey, NotRun: true,
				Message: name + "/" + method + " runs at most once and needs the header",
			})
		}
		return &plan{offer: &clemwire.Offer{
			Pool: service.GetPool(), Service: name, Call: method, Media: media, Body: body,
			Mode: mode, Key: key, Conversation: affinity(key, body), Prompt: callCost,
		}}, nil
	}
	rule := e.config.Board.Config().Get().Rule(name, method)
	return e.run(ctx, c, newTask(c.request, c.organisation.GetName(), build), rule.GetTimeout().AsDuration())
}

// affinity returns what calls are ranked by: repeats of a key go to the
// backend server that holds its claim, other calls spread by their content.
func affinity(key string, body []byte) uint64 {
	if key != "" {
		return xxhash.Sum64String(key)
	}
	return xxhash.Sum64(body)
}
