package clemconfig

import "github.com/clementineturn/clementineturn/clemwire"

// NewEntity returns an entity with the kind and the name and no other fields
// set, or nil if the kind is unknown.
func NewEntity(kind clemwire.EntityKind, n string) *clemwire.Entity {
	switch kind {
	case clemwire.EntityKind_ENTITY_KIND_ORGANISATION:
		return &clemwire.Entity{Kind: &clemwire.Entity_Organisation{Organisation: &clemwire.Organisation{Name: n}}}
	case clemwire.EntityKind_ENTITY_KIND_POOL:
		return &clemwire.Entity{Kind: &clemwire.Entity_Pool{Pool: &clemwire.Pool{Name: n}}}
	case clemwire.EntityKind_ENTITY_KIND_ENGINE:
		return &clemwire.Entity{Kind: &clemwire.Entity_Engine{Engine: &clemwire.Engine{Name: n}}}
	case clemwire.EntityKind_ENTITY_KIND_SERVICE:
		return &clemwire.Entity{Kind: &clemwire.Entity_Service{Service: &clemwire.Service{Name: n}}}
	case clemwire.EntityKind_ENTITY_KIND_RULE:
		return &clemwire.Entity{Kind: &clemwire.Entity_Rule{Rule: &clemwire.Rule{Name: n}}}
	case clemwire.EntityKind_ENTITY_KIND_DRAIN:
		return &clemwire.Entity{Kind: &clemwire.Entity_Drain{Drain: &clemwire.Drain{Server: n}}}
	}
	return nil
}

// Name returns the entity's name, which for a drain is the name of its server.
func Name(entity *clemwire.Entity) string { return keyOf(entity).name }

// KindName returns the kind of the entity as one lower-case word, as in
// "organisation".
func KindName(entity *clemwire.Entity) string { return kindName(keyOf(entity).kind) }
