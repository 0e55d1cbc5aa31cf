package clemconfig

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

func modelPool() *clemwire.Pool {
	return &clemwire.Pool{Name: "m", Kind: clemwire.PoolKind_POOL_KIND_MODEL, Model: "m-1", Bound: 1.25, Slots: 8, LongCost: 1, LongShare: 0.5}
}

func entityOf[T any](edit func(*T), base *T, wrap func(*T) *clemwire.Entity) *clemwire.Entity {
	edit(base)
	return wrap(base)
}

func modifiedPool(edit func(*clemwire.Pool)) *clemwire.Entity {
	return entityOf(edit, modelPool(), func(p *clemwire.Pool) *clemwire.Entity {
		return &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: p}}
	})
}

func modifiedOrganisation(edit func(*clemwire.Organisation)) *clemwire.Entity {
	return entityOf(edit, &clemwire.Organisation{Name: "o", Weight: 1, Queue: 1}, func(o *clemwire.Organisation) *clemwire.Entity {
		return &clemwire.Entity{Kind: &clemwire.Entity_Organisation{Organisation: o}}
	})
}

func modifiedRule(edit func(*clemwire.Rule)) *clemwire.Entity {
	return entityOf(edit, &clemwire.Rule{Name: "r2", Service: "s", Call: "pay", Mode: clemwire.Mode_MODE_IDEMPOTENT}, func(r *clemwire.Rule) *clemwire.Entity {
		return &clemwire.Entity{Kind: &clemwire.Entity_Rule{Rule: r}}
	})
}

// populatedState returns a state with an organisation "taken" that has an API
// key, a model pool "taken", a plain pool, a service and a rule.
func populatedState() *State {
	taken := modifiedOrganisation(func(o *clemwire.Organisation) {
		o.Name, o.Keys = "taken", []*clemwire.Key{{Name: "k", Digest: make([]byte, 32)}}
	})
	model := modifiedPool(func(p *clemwire.Pool) { p.Name, p.Model = "taken", "taken" })
	plain := modifiedPool(func(p *clemwire.Pool) { p.Name, p.Kind, p.Model = "plain", clemwire.PoolKind_POOL_KIND_PLAIN, "" })
	service := &clemwire.Entity{Kind: &clemwire.Entity_Service{Service: &clemwire.Service{Name: "s", Pool: "plain"}}}
	rule := modifiedRule(func(r *clemwire.Rule) { r.Name, r.Call = "r", "*" })
	return FromSnapshot(&clemwire.Snapshot{Generation: 5, Entities: []*clemwire.Entity{taken, model, plain, service, rule}})
}

// An out-of-range value of any field of any entity is refused with an error
// that names the field.
func TestCheckFields(t *testing.T) {
	long := strings.Repeat("x", maxExternalNameBytes+1)
	digest := func(b byte) []byte { return append(make([]byte, 31), b) }
	for field, entities := range map[string][]*clemwire.Entity{
		"organisation.name":           {modifiedOrganisation(func(o *clemwire.Organisation) { o.Name = "" }), modifiedOrganisation(func(o *clemwire.Organisation) { o.Name = "A" })},
		"organisation.weight":         {modifiedOrganisation(func(o *clemwire.Organisation) { o.Weight = 0 }), modifiedOrganisation(func(o *clemwire.Organisation) { o.Weight = 1001 })},
		"organisation.queue":          {modifiedOrganisation(func(o *clemwire.Organisation) { o.Queue = 0 })},
		"organisation.keys":           {modifiedOrganisation(func(o *clemwire.Organisation) { o.Keys = make([]*clemwire.Key, maxKeys+1) })},
		"organisation.keys[0].digest": {modifiedOrganisation(func(o *clemwire.Organisation) { o.Keys = []*clemwire.Key{{Name: "k"}} }), modifiedOrganisation(func(o *clemwire.Organisation) { o.Keys = []*clemwire.Key{{Name: "k", Digest: digest(0)}} })},
		"organisation.keys[1].name": {modifiedOrganisation(func(o *clemwire.Organisation) {
			o.Keys = []*clemwire.Key{{Name: "k", Digest: digest(1)}, {Name: "k", Digest: digest(2)}}
		})},
		"organisation.objective.first": {modifiedOrganisation(func(o *clemwire.Organisation) { o.Objective = &clemwire.Objective{Availability: 0.9, Share: 0.9} })},
		"pool.kind":                    {modifiedPool(func(p *clemwire.Pool) { p.Kind = 0 })},
		"pool.model":                   {modifiedPool(func(p *clemwire.Pool) { p.Model = "" }), modifiedPool(func(p *clemwire.Pool) { p.Model = "taken" }), modifiedPool(func(p *clemwire.Pool) { p.Model = "a\r\nb" }), modifiedPool(func(p *clemwire.Pool) { p.Model = long }), modifiedPool(func(p *clemwire.Pool) { p.Kind = clemwire.PoolKind_POOL_KIND_PLAIN })},
		"pool.bound":                   {modifiedPool(func(p *clemwire.Pool) { p.Bound = 1 }), modifiedPool(func(p *clemwire.Pool) { p.Bound = 11 })},
		"pool.slots":                   {modifiedPool(func(p *clemwire.Pool) { p.Slots = 0 })},
		"pool.long_cost":               {modifiedPool(func(p *clemwire.Pool) { p.LongCost = 0 })},
		"pool.long_share":              {modifiedPool(func(p *clemwire.Pool) { p.LongShare = 0 })},
		"pool.hedge":                   {modifiedPool(func(p *clemwire.Pool) { p.Hedge = 0.3 })},
		"pool.version":                 {modifiedPool(func(p *clemwire.Pool) { p.Version = "a b" })},
		"pool.adapters":                {modifiedPool(func(p *clemwire.Pool) { p.Adapters = make([]string, maxAdapters+1) })},
		"pool.adapters[0]":             {modifiedPool(func(p *clemwire.Pool) { p.Adapters = []string{""} })},
		"pool.objective.availability":  {modifiedPool(func(p *clemwire.Pool) { p.Objective = &clemwire.Objective{Availability: 1} })},
		"pool.objective.share":         {modifiedPool(func(p *clemwire.Pool) { p.Objective = &clemwire.Objective{Availability: 0.9, First: durationpb.New(1)} })},
		"engine.name":                  {NewEntity(clemwire.EntityKind_ENTITY_KIND_ENGINE, "")},
		"service.pool":                 {NewEntity(clemwire.EntityKind_ENTITY_KIND_SERVICE, "x")},
		"rule.service":                 {modifiedRule(func(r *clemwire.Rule) { r.Service = "none" })},
		"rule.call":                    {modifiedRule(func(r *clemwire.Rule) { r.Call = "" }), modifiedRule(func(r *clemwire.Rule) { r.Call = "*" })},
		"rule.mode":                    {modifiedRule(func(r *clemwire.Rule) { r.Mode = 0 })},
		"rule.timeout":                 {modifiedRule(func(r *clemwire.Rule) { r.Timeout = durationpb.New(-1) }), modifiedRule(func(r *clemwire.Rule) { r.Timeout = durationpb.New(2 * time.Hour) })},
		"drain.server":                 {NewEntity(clemwire.EntityKind_ENTITY_KIND_DRAIN, ""), NewEntity(clemwire.EntityKind_ENTITY_KIND_DRAIN, "a\x00"), NewEntity(clemwire.EntityKind_ENTITY_KIND_DRAIN, long)},
		"entity":                       {nil, {}},
	} {
		for _, entity := range entities {
			err := populatedState().Check(&clemwire.Change{Action: clemwire.Action_ACTION_CREATE, Entity: entity})
			require.True(t, clementineturn.IsKind(err, clementineturn.KindInvalid), "%s: %v", field, err)
			require.Equal(t, field, clementineturn.AsError(err).Field(), "%v", err)
			require.True(t, clementineturn.IsNotRun(err))
		}
	}
	valid := []*clemwire.Entity{
		modifiedPool(func(*clemwire.Pool) {}), modifiedOrganisation(func(*clemwire.Organisation) {}), modifiedRule(func(*clemwire.Rule) {}),
		NewEntity(clemwire.EntityKind_ENTITY_KIND_ENGINE, "srv-1"), NewEntity(clemwire.EntityKind_ENTITY_KIND_DRAIN, "SRV_1.example"),
	}
	for _, entity := range valid {
		require.NoError(t, populatedState().Check(&clemwire.Change{Action: clemwire.Action_ACTION_CREATE, Entity: entity}))
	}
}

func TestCheckReferences(t *testing.T) {
	state := populatedState()
	for _, entity := range []*clemwire.Entity{
		NewEntity(clemwire.EntityKind_ENTITY_KIND_POOL, "plain"), NewEntity(clemwire.EntityKind_ENTITY_KIND_SERVICE, "s"),
	} {
		err := state.Check(&clemwire.Change{Action: clemwire.Action_ACTION_DELETE, Entity: entity})
		require.True(t, clementineturn.IsKind(err, clementineturn.KindConflict), "%v", err)
	}
	require.NoError(t, state.Check(&clemwire.Change{Action: clemwire.Action_ACTION_DELETE, Entity: NewEntity(clemwire.EntityKind_ENTITY_KIND_RULE, "r")}))
	err := state.Check(&clemwire.Change{Entity: NewEntity(clemwire.EntityKind_ENTITY_KIND_RULE, "r")})
	require.Equal(t, "action", clementineturn.AsError(err).Field())
}

// A plain pool cannot become a model pool while a service refers to it.
func TestCheckPoolKindInUse(t *testing.T) {
	state := populatedState()
	pool := proto.CloneOf(state.Pool("plain"))
	pool.Kind, pool.Model = clemwire.PoolKind_POOL_KIND_MODEL, "new"
	err := state.Check(&clemwire.Change{Action: clemwire.Action_ACTION_UPDATE, Entity: &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: pool}}})
	require.True(t, clementineturn.IsKind(err, clementineturn.KindConflict), "%v", err)
}
