// Package clemconfig holds the configuration of the fleet: the state that a
// sequence of changes folds into, the checks that a change must pass, and the
// generation log in the platform's table that orders the changes.
package clemconfig

import (
	"slices"

	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// name identifies an entity within the configuration.
type name struct {
	kind clemwire.EntityKind
	name string
}

// State is the configuration at one generation. It never changes; Apply
// returns the next one, which shares what the change leaves alone.
type State struct {
	generation uint64
	entities   shards[name, *clemwire.Entity]
	// digests holds the organisation of each key.
	digests shards[string, string]
	models  shards[string, *clemwire.Pool]
	rules   shards[[2]string, *clemwire.Rule]
}

// Empty returns the state of generation 0.
func Empty() *State { return &State{} }

// FromSnapshot returns the state of a snapshot.
func FromSnapshot(snapshot *clemwire.Snapshot) *State {
	s := &State{generation: snapshot.GetGeneration()}
	for _, entity := range snapshot.GetEntities() {
		s.add(entity, false)
	}
	return s
}

// callOf is what a rule is looked up by.
func callOf(rule *clemwire.Rule) [2]string { return [2]string{rule.GetService(), rule.GetCall()} }

// add stores the entity and its index entries, in copies of the parts that
// other states may share.
func (s *State) add(entity *clemwire.Entity, shared bool) {
	s.entities.set(nameOf(entity), entity, shared)
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		for _, key := range k.Organisation.GetKeys() {
			s.digests.set(string(key.GetDigest()), k.Organisation.GetName(), shared)
		}
	case *clemwire.Entity_Pool:
		if k.Pool.GetModel() != "" {
			s.models.set(k.Pool.GetModel(), k.Pool, shared)
		}
	case *clemwire.Entity_Rule:
		s.rules.set(callOf(k.Rule), k.Rule, shared)
	}
}

// remove drops the entity and its index entries.
func (s *State) remove(n name) {
	entity, ok := s.entities.get(n)
	if !ok {
		return
	}
	s.entities = s.entities.without(n)
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		for _, key := range k.Organisation.GetKeys() {
			s.digests = s.digests.without(string(key.GetDigest()))
		}
	case *clemwire.Entity_Pool:
		s.models = s.models.without(k.Pool.GetModel())
	case *clemwire.Entity_Rule:
		s.rules = s.rules.without(callOf(k.Rule))
	}
}

// Snapshot returns the whole state in its wire form, sorted.
func (s *State) Snapshot() *clemwire.Snapshot {
	snapshot := &clemwire.Snapshot{Generation: s.generation}
	for kind := range clemwire.EntityKind_name {
		snapshot.Entities = append(snapshot.Entities, s.List(clemwire.EntityKind(kind))...)
	}
	slices.SortStableFunc(snapshot.Entities, func(a, b *clemwire.Entity) int {
		return int(nameOf(a).kind) - int(nameOf(b).kind)
	})
	return snapshot
}

// Generation returns the generation of the state.
func (s *State) Generation() uint64 { return s.generation }

// List returns the entities of one kind, sorted by name.
func (s *State) List(kind clemwire.EntityKind) []*clemwire.Entity {
	var entities []*clemwire.Entity
	for n, entity := range s.entities.all() {
		if n.kind == kind {
			entities = append(entities, entity)
		}
	}
	slices.SortFunc(entities, func(a, b *clemwire.Entity) int {
		if nameOf(a).name < nameOf(b).name {
			return -1
		}
		return 1
	})
	return entities
}

// Entity returns the entity of the kind and name, or nil.
func (s *State) Entity(kind clemwire.EntityKind, n string) *clemwire.Entity {
	entity, _ := s.entities.get(name{kind, n})
	return entity
}

// Organisation returns the organisation, or nil.
func (s *State) Organisation(n string) *clemwire.Organisation {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_ORGANISATION, n).GetOrganisation()
}

// Holder returns the organisation that holds the key of the given SHA-256 digest, or nil.
func (s *State) Holder(digest []byte) *clemwire.Organisation {
	n, ok := s.digests.get(string(digest))
	if !ok {
		return nil
	}
	return s.Organisation(n)
}

// Pool returns the pool, or nil.
func (s *State) Pool(n string) *clemwire.Pool {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_POOL, n).GetPool()
}

// Model returns the pool that serves a model, or nil.
func (s *State) Model(model string) *clemwire.Pool {
	pool, _ := s.models.get(model)
	return pool
}

// Service returns the plain service, or nil.
func (s *State) Service(n string) *clemwire.Service {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_SERVICE, n).GetService()
}

// Engine returns the declared traits of a backend server, or nil.
func (s *State) Engine(n string) *clemwire.Engine {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_ENGINE, n).GetEngine()
}

// Drained reports whether operators drained the backend server.
func (s *State) Drained(server string) bool {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_DRAIN, server) != nil
}

// Rule returns the rule of a call: the one that names it, else the service's
// "*" rule, else nil, which means at-most-once.
func (s *State) Rule(service, call string) *clemwire.Rule {
	if r, ok := s.rules.get([2]string{service, call}); ok {
		return r
	}
	r, _ := s.rules.get([2]string{service, "*"})
	return r
}

// Scope returns the generation of the newest change among the entities that
// decide about a piece of work. An offer older than its scope is stale; one
// that lacks only unrelated changes is not.
func (s *State) Scope(offer *clemwire.Offer) uint64 {
	newest := max(s.Organisation(offer.GetOrganisation()).GetGeneration(), s.Pool(offer.GetPool()).GetGeneration())
	if offer.GetService() == "" {
		return newest
	}
	rule := s.Rule(offer.GetService(), offer.GetCall())
	return max(newest, s.Service(offer.GetService()).GetGeneration(), rule.GetGeneration())
}

// Apply returns the state after the change, which must be of the next
// generation. It does not check the change; Check does. Errors: KindConflict.
func (s *State) Apply(change *clemwire.Change) (*State, error) {
	if change.GetGeneration() != s.generation+1 {
		return nil, clementineturn.Errorf(clementineturn.KindConflict, "change of generation %d cannot follow generation %d", change.GetGeneration(), s.generation)
	}
	entity := proto.CloneOf(change.GetEntity())
	next := *s
	next.generation = change.GetGeneration()
	next.remove(nameOf(entity))
	if change.GetAction() != clemwire.Action_ACTION_DELETE {
		SetGeneration(entity, change.GetGeneration())
		next.add(entity, true)
	}
	return &next, nil
}

func nameOf(entity *clemwire.Entity) name {
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		return name{clemwire.EntityKind_ENTITY_KIND_ORGANISATION, k.Organisation.GetName()}
	case *clemwire.Entity_Pool:
		return name{clemwire.EntityKind_ENTITY_KIND_POOL, k.Pool.GetName()}
	case *clemwire.Entity_Engine:
		return name{clemwire.EntityKind_ENTITY_KIND_ENGINE, k.Engine.GetName()}
	case *clemwire.Entity_Service:
		return name{clemwire.EntityKind_ENTITY_KIND_SERVICE, k.Service.GetName()}
	case *clemwire.Entity_Rule:
		return name{clemwire.EntityKind_ENTITY_KIND_RULE, k.Rule.GetName()}
	case *clemwire.Entity_Drain:
		return name{clemwire.EntityKind_ENTITY_KIND_DRAIN, k.Drain.GetServer()}
	}
	return name{}
}

// Generation returns the generation of an entity's last change.
func Generation(entity *clemwire.Entity) uint64 {
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		return k.Organisation.GetGeneration()
	case *clemwire.Entity_Pool:
		return k.Pool.GetGeneration()
	case *clemwire.Entity_Engine:
		return k.Engine.GetGeneration()
	case *clemwire.Entity_Service:
		return k.Service.GetGeneration()
	case *clemwire.Entity_Rule:
		return k.Rule.GetGeneration()
	case *clemwire.Entity_Drain:
		return k.Drain.GetGeneration()
	}
	return 0
}

// SetGeneration sets the generation of an entity's last change.
func SetGeneration(entity *clemwire.Entity, generation uint64) {
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		k.Organisation.Generation = generation
	case *clemwire.Entity_Pool:
		k.Pool.Generation = generation
	case *clemwire.Entity_Engine:
		k.Engine.Generation = generation
	case *clemwire.Entity_Service:
		k.Service.Generation = generation
	case *clemwire.Entity_Rule:
		k.Rule.Generation = generation
	case *clemwire.Entity_Drain:
		k.Drain.Generation = generation
	}
}
