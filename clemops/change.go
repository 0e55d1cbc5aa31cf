package clemops

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	maxIDLength         = 128
	maxServerNameLength = 253
	// secretPrefix starts every API key, so that scanners for leaked secrets
	// recognize it.
	secretPrefix = "ct-"
	// maxAddKeyAttempts bounds the retries of AddKey when the organisation is
	// changed concurrently.
	maxAddKeyAttempts = 8
)

// Create implements clemwire.OperatorsHandler.
func (h *Handler) Create(ctx context.Context, r *connect.Request[clemwire.CreateRequest]) (*connect.Response[clemwire.ChangeResponse], error) {
	entity := proto.CloneOf(r.Msg.GetEntity())
	clemconfig.SetGeneration(entity, 0)
	return h.change(ctx, r.Msg.GetId(), clemwire.Action_ACTION_CREATE, entity)
}

// Update implements clemwire.OperatorsHandler.
func (h *Handler) Update(ctx context.Context, r *connect.Request[clemwire.UpdateRequest]) (*connect.Response[clemwire.ChangeResponse], error) {
	entity := r.Msg.GetEntity()
	if entity.GetKind() != nil && clemconfig.Generation(entity) == 0 {
		return nil, clementineturn.Invalid(clemconfig.KindName(entity)+".generation", "found 0, the generation of the entity that was read is needed")
	}
	return h.change(ctx, r.Msg.GetId(), clemwire.Action_ACTION_UPDATE, entity)
}

// Delete implements clemwire.OperatorsHandler.
func (h *Handler) Delete(ctx context.Context, r *connect.Request[clemwire.DeleteRequest]) (*connect.Response[clemwire.ChangeResponse], error) {
	if r.Msg.GetName() == "" {
		return nil, clementineturn.Invalid("name", "found nothing, the entity's name is needed")
	}
	entity := clemconfig.NewEntity(r.Msg.GetKind(), r.Msg.GetName())
	if entity == nil {
		return nil, invalidKind(r.Msg.GetKind())
	}
	clemconfig.SetGeneration(entity, r.Msg.GetGeneration())
	return h.change(ctx, r.Msg.GetId(), clemwire.Action_ACTION_DELETE, entity)
}

// List implements clemwire.OperatorsHandler.
func (h *Handler) List(ctx context.Context, r *connect.Request[clemwire.ListRequest]) (*connect.Response[clemwire.ListResponse], error) {
	if clemconfig.NewEntity(r.Msg.GetKind(), "") == nil {
		return nil, invalidKind(r.Msg.GetKind())
	}
	state, err := h.state(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&clemwire.ListResponse{Generation: state.Generation(), Entities: state.List(r.Msg.GetKind())}), nil
}

// DrainServer implements clemwire.OperatorsHandler.
func (h *Handler) DrainServer(ctx context.Context, r *connect.Request[clemwire.DrainServerRequest]) (*connect.Response[clemwire.ChangeResponse], error) {
	return h.drain(ctx, r.Msg, clemwire.Action_ACTION_CREATE)
}

// UndrainServer implements clemwire.OperatorsHandler.
func (h *Handler) UndrainServer(ctx context.Context, r *connect.Request[clemwire.DrainServerRequest]) (*connect.Response[clemwire.ChangeResponse], error) {
	return h.drain(ctx, r.Msg, clemwire.Action_ACTION_DELETE)
}

func (h *Handler) drain(ctx context.Context, r *clemwire.DrainServerRequest, action clemwire.Action) (*connect.Response[clemwire.ChangeResponse], error) {
	server := r.GetServer()
	if server == "" || len(server) > maxServerNameLength || !isPrintableASCII(server) {
		return nil, clementineturn.Invalid("server", "found %.80q, the name of a backend server is needed", server)
	}
	return h.change(ctx, r.GetId(), action, clemconfig.NewEntity(clemwire.EntityKind_ENTITY_KIND_DRAIN, server))
}

// change commits one change and returns the generation that it created.
func (h *Handler) change(ctx context.Context, id string, action clemwire.Action, entity *clemwire.Entity) (*connect.Response[clemwire.ChangeResponse], error) {
	if err := h.checkChange(id, action, entity); err != nil {
		return nil, err
	}
	state, err := h.state(ctx)
	if err != nil {
		return nil, err
	}
	_, generation, err := h.commit(ctx, state, &clemwire.Change{Id: id, Action: action, Entity: entity})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&clemwire.ChangeResponse{Generation: generation}), nil
}

// commit appends the change to the log with the operator as its author. It
// returns the newest state that it reached, also with an error, and the
// generation that the change created.
func (h *Handler) commit(ctx context.Context, state *clemconfig.State, change *clemwire.Change) (*clemconfig.State, uint64, error) {
	change.Author = operatorName(ctx)
	state, generation, err := h.log.Commit(ctx, state, change)
	h.publishState(state)
	if err != nil {
		return state, 0, err
	}
	h.events.Emit(
		clemevent.ConfigChanged,
		zap.String("operator", change.GetAuthor()), zap.String("request", change.GetId()), zap.Uint64("generation", generation),
		zap.String("action", strings.ToLower(strings.TrimPrefix(change.GetAction().String(), "ACTION_"))),
		zap.String("entity", clemconfig.KindName(change.GetEntity())), zap.String("name", clemconfig.Name(change.GetEntity())),
	)
	return state, generation, nil
}

func (h *Handler) checkChange(id string, action clemwire.Action, entity *clemwire.Entity) error {
	if err := checkID(id); err != nil {
		return err
	}
	if action == clemwire.Action_ACTION_DELETE {
		return nil
	}
	for i, key := range entity.GetOrganisation().GetKeys() {
		if h.isToken(key.GetDigest()) {
			return clementineturn.Invalid(fmt.Sprintf("organisation.keys[%d].digest", i), "found the digest of an operator's token")
		}
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > maxIDLength || !isPrintableASCII(id) {
		return clementineturn.Invalid("id", "found %.80q, 1 to %d printable ASCII characters are needed", id, maxIDLength)
	}
	return nil
}

func isPrintableASCII(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

func invalidKind(kind clemwire.EntityKind) error {
	return clementineturn.Invalid("kind", "found %v, allowed are organisation, pool, engine, service, rule and drain", kind)
}

// AddKey implements clemwire.OperatorsHandler. A repeated request cannot be
// answered with the secret, since only its digest is stored. It is refused with
// KindExists, and the operator has to replace the key.
func (h *Handler) AddKey(ctx context.Context, r *connect.Request[clemwire.AddKeyRequest]) (*connect.Response[clemwire.AddKeyResponse], error) {
	if err := checkID(r.Msg.GetId()); err != nil {
		return nil, err
	}
	if !clemconfig.ValidName(r.Msg.GetName()) {
		return nil, clementineturn.Invalid("name", "found %.80q, allowed are 1 to 63 of a-z, 0-9, '.', '_' and '-'", r.Msg.GetName())
	}
	state, err := h.state(ctx)
	if err != nil {
		return nil, err
	}
	secret := secretPrefix + rand.Text()
	for range maxAddKeyAttempts {
		if state, err = h.log.Advance(ctx, state); err != nil {
			return nil, err
		}
		if err = h.checkRepeatedKey(ctx, state, r.Msg); err != nil {
			return nil, err
		}
		var change *clemwire.Change
		if change, err = keyChange(state, r.Msg, secret); err != nil {
			return nil, err
		}
		var generation uint64
		state, generation, err = h.commit(ctx, state, change)
		if err == nil {
			return connect.NewResponse(&clemwire.AddKeyResponse{Generation: generation, Secret: secret}), nil
		}
		// A concurrent repeat of the request causes KindKeyReused here; the next
		// iteration finds its change in the log and refuses this request.
		if !clementineturn.IsKind(err, clementineturn.KindConflict) && !clementineturn.IsKind(err, clementineturn.KindKeyReused) {
			return nil, err
		}
	}
	return nil, err
}

// keyChange returns the change that adds the digest of the secret to the
// organisation's keys.
func keyChange(state *clemconfig.State, r *clemwire.AddKeyRequest, secret string) (*clemwire.Change, error) {
	organisation := proto.CloneOf(state.Organisation(r.GetOrganisation()))
	if organisation == nil {
		return nil, clementineturn.NewError(clementineturn.ErrorConfig{
			Kind: clementineturn.KindNotFound, Field: "organisation", NotRun: true,
			Message: fmt.Sprintf("no organisation %.80q", r.GetOrganisation()),
		})
	}
	if hasKey(organisation, r.GetName()) {
		return nil, keyExistsError("the organisation has a key %q", r.GetName())
	}
	digest := sha256.Sum256([]byte(secret))
	organisation.Keys = append(organisation.Keys, &clemwire.Key{Name: r.GetName(), Digest: digest[:]})
	return &clemwire.Change{
		Id: r.GetId(), Action: clemwire.Action_ACTION_UPDATE,
		Entity: &clemwire.Entity{Kind: &clemwire.Entity_Organisation{Organisation: organisation}},
	}, nil
}

// checkRepeatedKey refuses a request whose id is in the log already, either
// because an earlier attempt added the key or because another change used it.
func (h *Handler) checkRepeatedKey(ctx context.Context, state *clemconfig.State, r *clemwire.AddKeyRequest) error {
	found, err := h.log.Find(ctx, r.GetId(), state.Generation())
	if err != nil || found == nil {
		return err
	}
	organisation := found.GetEntity().GetOrganisation()
	if organisation.GetName() != r.GetOrganisation() || !hasKey(organisation, r.GetName()) {
		return clementineturn.NewError(clementineturn.ErrorConfig{
			Kind: clementineturn.KindKeyReused, Field: "id", NotRun: true,
			Message: "another change was made under the id",
		})
	}
	return keyExistsError("the request made the key in generation %d and its text cannot be read again; remove the key and add another under a new id", found.GetGeneration())
}

func hasKey(organisation *clemwire.Organisation, key string) bool {
	return slices.ContainsFunc(organisation.GetKeys(), func(k *clemwire.Key) bool { return k.GetName() == key })
}

func keyExistsError(format string, args ...any) error {
	return clementineturn.NewError(clementineturn.ErrorConfig{
		Kind: clementineturn.KindExists, Field: "name", NotRun: true, Message: fmt.Sprintf(format, args...),
	})
}
