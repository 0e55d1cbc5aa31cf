package clemconfig

import "github.com/clementineturn/clementineturn/clemwire"

// NewEntity returns an entity of the kind and name without further fields,
// or nil if there is no such kind.
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

// Name returns the entity's name; that of a drain is its server.
func Name(entity *clemwire.Entity) string { return nameOf(entity).name }

// KindName returns the kind of the entity as one lower-case word.
func KindName(entity *clemwire.Entity) string { return kindName(nameOf(entity).kind) }
