// Package clemconfig holds the configuration of a fleet with sidecars. It
// defines the state that a sequence of changes leads to, the validation of a
// change, and the log in the platform's table that orders the changes. Entries
// and sidecars look up a request's organisation, pool, service and rule in the
// state; operators change it through the log.
package clemconfig

import (
	"slices"

	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// entityKey identifies an entity within the configuration.
type entityKey struct {
	kind clemwire.EntityKind
	name string
}

// State is the configuration at one generation. It is immutable and safe for
// concurrent use; Apply returns the next state, which shares all unchanged
// shards with its predecessor.
type State struct {
	generation uint64
	entities   shardedMap[entityKey, *clemwire.Entity]
	// organisationByDigest holds the name of the organisation to which the API
	// key with a SHA-256 digest belongs.
	organisationByDigest shardedMap[string, string]
	poolByModel          shardedMap[string, *clemwire.Pool]
	ruleByCall           shardedMap[[2]string, *clemwire.Rule]
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

// callKey returns the service and the call for which the rule is looked up.
func callKey(rule *clemwire.Rule) [2]string { return [2]string{rule.GetService(), rule.GetCall()} }

// add stores the entity and its index entries. If shared is set, it first
// copies the affected shards, since other states may refer to them.
func (s *State) add(entity *clemwire.Entity, shared bool) {
	s.entities.set(keyOf(entity), entity, shared)
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		for _, key := range k.Organisation.GetKeys() {
			s.organisationByDigest.set(string(key.GetDigest()), k.Organisation.GetName(), shared)
		}
	case *clemwire.Entity_Pool:
		if k.Pool.GetModel() != "" {
			s.poolByModel.set(k.Pool.GetModel(), k.Pool, shared)
		}
	case *clemwire.Entity_Rule:
		s.ruleByCall.set(callKey(k.Rule), k.Rule, shared)
	}
}

// remove deletes the entity and its index entries.
func (s *State) remove(n entityKey) {
	entity, ok := s.entities.get(n)
	if !ok {
		return
	}
	s.entities = s.entities.without(n)
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		for _, key := range k.Organisation.GetKeys() {
			s.organisationByDigest = s.organisationByDigest.without(string(key.GetDigest()))
		}
	case *clemwire.Entity_Pool:
		s.poolByModel = s.poolByModel.without(k.Pool.GetModel())
	case *clemwire.Entity_Rule:
		s.ruleByCall = s.ruleByCall.without(callKey(k.Rule))
	}
}

// Snapshot returns the wire form of the state, sorted by kind and name.
func (s *State) Snapshot() *clemwire.Snapshot {
	snapshot := &clemwire.Snapshot{Generation: s.generation}
	for kind := range clemwire.EntityKind_name {
		snapshot.Entities = append(snapshot.Entities, s.List(clemwire.EntityKind(kind))...)
	}
	slices.SortStableFunc(snapshot.Entities, func(a, b *clemwire.Entity) int {
		return int(keyOf(a).kind) - int(keyOf(b).kind)
	})
	return snapshot
}

// Generation returns the generation of the state, which is the number of
// changes that led to it.
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
		if keyOf(a).name < keyOf(b).name {
			return -1
		}
		return 1
	})
	return entities
}

// Entity returns the entity of the kind and name, or nil.
func (s *State) Entity(kind clemwire.EntityKind, n string) *clemwire.Entity {
	entity, _ := s.entities.get(entityKey{kind, n})
	return entity
}

// Organisation returns the organisation with the name, or nil.
func (s *State) Organisation(n string) *clemwire.Organisation {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_ORGANISATION, n).GetOrganisation()
}

// OrganisationByKey returns the organisation of the API key with the SHA-256
// digest, or nil.
func (s *State) OrganisationByKey(digest []byte) *clemwire.Organisation {
	n, ok := s.organisationByDigest.get(string(digest))
	if !ok {
		return nil
	}
	return s.Organisation(n)
}

// Pool returns the pool with the name, or nil.
func (s *State) Pool(n string) *clemwire.Pool {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_POOL, n).GetPool()
}

// PoolByModel returns the pool that serves the model, or nil.
func (s *State) PoolByModel(model string) *clemwire.Pool {
	pool, _ := s.poolByModel.get(model)
	return pool
}

// Service returns the plain service with the name, or nil.
func (s *State) Service(n string) *clemwire.Service {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_SERVICE, n).GetService()
}

// Engine returns the declared features of the backend server, or nil.
func (s *State) Engine(n string) *clemwire.Engine {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_ENGINE, n).GetEngine()
}

// IsDraining reports whether an operator is draining the backend server.
func (s *State) IsDraining(server string) bool {
	return s.Entity(clemwire.EntityKind_ENTITY_KIND_DRAIN, server) != nil
}

// Rule returns the rule for the call: the one that names the call, otherwise
// the service's "*" rule, otherwise nil, which means at-most-once.
func (s *State) Rule(service, call string) *clemwire.Rule {
	if r, ok := s.ruleByCall.get([2]string{service, call}); ok {
		return r
	}
	r, _ := s.ruleByCall.get([2]string{service, "*"})
	return r
}

// ScopeGeneration returns the highest generation of the entities that decide
// about the offered work: its organisation, pool, service and rule. An offer
// based on an older generation is stale. One that lacks only changes of other
// entities is not.
func (s *State) ScopeGeneration(offer *clemwire.Offer) uint64 {
	newest := max(s.Organisation(offer.GetOrganisation()).GetGeneration(), s.Pool(offer.GetPool()).GetGeneration())
	if offer.GetService() == "" {
		return newest
	}
	rule := s.Rule(offer.GetService(), offer.GetCall())
	return max(newest, s.Service(offer.GetService()).GetGeneration(), rule.GetGeneration())
}

// Apply returns the state after the change. It does not validate the change;
// Check does. Errors: KindConflict if the change is not of the next generation.
func (s *State) Apply(change *clemwire.Change) (*State, error) {
	if change.GetGeneration() != s.generation+1 {
		return nil, clementineturn.Errorf(clementineturn.KindConflict, "change of generation %d cannot follow generation %d", change.GetGeneration(), s.generation)
	}
	entity := proto.CloneOf(change.GetEntity())
	next := *s
	next.generation = change.GetGeneration()
	next.remove(keyOf(entity))
	if change.GetAction() != clemwire.Action_ACTION_DELETE {
		SetGeneration(entity, change.GetGeneration())
		next.add(entity, true)
	}
	return &next, nil
}

func keyOf(entity *clemwire.Entity) entityKey {
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		return entityKey{clemwire.EntityKind_ENTITY_KIND_ORGANISATION, k.Organisation.GetName()}
	case *clemwire.Entity_Pool:
		return entityKey{clemwire.EntityKind_ENTITY_KIND_POOL, k.Pool.GetName()}
	case *clemwire.Entity_Engine:
		return entityKey{clemwire.EntityKind_ENTITY_KIND_ENGINE, k.Engine.GetName()}
	case *clemwire.Entity_Service:
		return entityKey{clemwire.EntityKind_ENTITY_KIND_SERVICE, k.Service.GetName()}
	case *clemwire.Entity_Rule:
		return entityKey{clemwire.EntityKind_ENTITY_KIND_RULE, k.Rule.GetName()}
	case *clemwire.Entity_Drain:
		return entityKey{clemwire.EntityKind_ENTITY_KIND_DRAIN, k.Drain.GetServer()}
	}
	return entityKey{}
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
