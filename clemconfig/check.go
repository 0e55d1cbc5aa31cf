package clemconfig

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	maxWeight      = 1000
	maxQueueLength = 100_000
	maxKeys        = 16
	minLoadFactor  = 1.05
	maxLoadFactor  = 10
	maxSlots       = 4096
	maxHedgeRatio  = 0.2
	minLongShare   = 0.05
	maxTimeout     = time.Hour
	// maxExternalNameBytes limits names given by the platform or the backend
	// servers: of models, versions, adapters and servers.
	maxExternalNameBytes = 253
	maxAdapters          = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether the text may name an entity or a key.
func ValidName(text string) bool { return namePattern.MatchString(text) }

// Check validates the change against the state. An error states the first
// problem found; if it is KindInvalid, it has the path of the field. Errors:
// KindInvalid, KindExists, KindNotFound, and KindConflict if the change is
// based on another generation of the entity or if other entities refer to it.
func (s *State) Check(change *clemwire.Change) error {
	entity := change.GetEntity()
	n := keyOf(entity)
	if n.kind == clemwire.EntityKind_ENTITY_KIND_UNSPECIFIED {
		return clementineturn.Invalid("entity", "one kind of entity is needed")
	}
	old, _ := s.entities.get(n)
	switch change.GetAction() {
	case clemwire.Action_ACTION_CREATE:
		if old != nil {
			return clementineturn.Refuse(clementineturn.KindExists, "%s %q exists", kindName(n.kind), n.name)
		}
	case clemwire.Action_ACTION_UPDATE:
		if err := checkGeneration(n, old, Generation(entity)); err != nil {
			return err
		}
		// A service may only refer to a plain pool, so the kind of a pool in
		// use must not change.
		if old.GetPool().GetKind() != entity.GetPool().GetKind() {
			if err := s.checkUnreferenced(n); err != nil {
				return err
			}
		}
	case clemwire.Action_ACTION_DELETE:
		want := Generation(entity)
		if want == 0 {
			want = Generation(old)
		}
		if err := checkGeneration(n, old, want); err != nil {
			return err
		}
		return s.checkUnreferenced(n)
	default:
		return clementineturn.Invalid("action", "found %v, allowed are create, update and delete", change.GetAction())
	}
	return s.checkEntity(entity)
}

func checkGeneration(n entityKey, old *clemwire.Entity, generation uint64) error {
	if old == nil {
		return clementineturn.Refuse(clementineturn.KindNotFound, "no %s %q", kindName(n.kind), n.name)
	}
	if Generation(old) != generation {
		return clementineturn.Refuse(clementineturn.KindConflict, "%s %q is of generation %d, the change rests on %d", kindName(n.kind), n.name, Generation(old), generation)
	}
	return nil
}

func (s *State) checkEntity(entity *clemwire.Entity) error {
	n := keyOf(entity)
	field := kindName(n.kind)
	if n.kind != clemwire.EntityKind_ENTITY_KIND_DRAIN && !namePattern.MatchString(n.name) {
		return clementineturn.Invalid(field+".name", "found %q, allowed are 1 to 63 of a-z, 0-9, '.', '_' and '-'", n.name)
	}
	switch k := entity.GetKind().(type) {
	case *clemwire.Entity_Organisation:
		return s.checkOrganisation(k.Organisation)
	case *clemwire.Entity_Pool:
		return s.checkPool(k.Pool)
	case *clemwire.Entity_Service:
		return s.checkService(k.Service)
	case *clemwire.Entity_Rule:
		return s.checkRule(k.Rule)
	case *clemwire.Entity_Drain:
		return checkExternalName("drain.server", k.Drain.GetServer())
	}
	return nil
}

func (s *State) checkOrganisation(o *clemwire.Organisation) error {
	if err := checkRange("organisation.weight", float64(o.GetWeight()), 1, maxWeight); err != nil {
		return err
	}
	if err := checkRange("organisation.queue", float64(o.GetQueue()), 1, maxQueueLength); err != nil {
		return err
	}
	if len(o.GetKeys()) > maxKeys {
		return clementineturn.Invalid("organisation.keys", "found %d, at most %d are allowed", len(o.GetKeys()), maxKeys)
	}
	var names []string
	for i, key := range o.GetKeys() {
		field := fmt.Sprintf("organisation.keys[%d]", i)
		if len(key.GetDigest()) != sha256.Size {
			return clementineturn.Invalid(field+".digest", "found %d bytes, a SHA-256 digest has %d", len(key.GetDigest()), sha256.Size)
		}
		if holder, ok := s.organisationByDigest.get(string(key.GetDigest())); ok && holder != o.GetName() {
			return clementineturn.Invalid(field+".digest", "another organisation holds the key")
		}
		if !namePattern.MatchString(key.GetName()) || slices.Contains(names, key.GetName()) {
			return clementineturn.Invalid(field+".name", "found %q, a unique name is needed", key.GetName())
		}
		names = append(names, key.GetName())
	}
	return checkObjective("organisation.objective", o.GetObjective())
}

func (s *State) checkPool(p *clemwire.Pool) error {
	switch p.GetKind() {
	case clemwire.PoolKind_POOL_KIND_MODEL:
		if err := checkExternalName("pool.model", p.GetModel()); err != nil {
			return err
		}
		if other := s.PoolByModel(p.GetModel()); other != nil && other.GetName() != p.GetName() {
			return clementineturn.Invalid("pool.model", "pool %q serves %q", other.GetName(), p.GetModel())
		}
	case clemwire.PoolKind_POOL_KIND_PLAIN:
		if p.GetModel() != "" {
			return clementineturn.Invalid("pool.model", "a plain pool has no model")
		}
	default:
		return clementineturn.Invalid("pool.kind", "found %v, allowed are model and plain", p.GetKind())
	}
	if err := checkVersion(p); err != nil {
		return err
	}
	checks := []struct {
		field           string
		value, low, top float64
	}{
		{"pool.bound", p.GetBound(), minLoadFactor, maxLoadFactor},
		{"pool.slots", float64(p.GetSlots()), 1, maxSlots},
		{"pool.long_share", p.GetLongShare(), minLongShare, 1},
		{"pool.hedge", p.GetHedge(), 0, maxHedgeRatio},
	}
	for _, c := range checks {
		if err := checkRange(c.field, c.value, c.low, c.top); err != nil {
			return err
		}
	}
	if p.GetLongCost() == 0 {
		return clementineturn.Invalid("pool.long_cost", "found 0, at least 1 token is needed")
	}
	return checkObjective("pool.objective", p.GetObjective())
}

func checkVersion(p *clemwire.Pool) error {
	if p.GetVersion() != "" {
		if err := checkExternalName("pool.version", p.GetVersion()); err != nil {
			return err
		}
	}
	if len(p.GetAdapters()) > maxAdapters {
		return clementineturn.Invalid("pool.adapters", "found %d, at most %d are allowed", len(p.GetAdapters()), maxAdapters)
	}
	for i, adapter := range p.GetAdapters() {
		if err := checkExternalName(fmt.Sprintf("pool.adapters[%d]", i), adapter); err != nil {
			return err
		}
	}
	return nil
}

// checkExternalName validates a name given by the platform or the backend
// servers.
func checkExternalName(field, text string) error {
	invalid := strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
	if text == "" || len(text) > maxExternalNameBytes || invalid {
		return clementineturn.Invalid(field, "found %.80q, 1 to %d printable ASCII characters without spaces are needed", text, maxExternalNameBytes)
	}
	return nil
}

func (s *State) checkService(service *clemwire.Service) error {
	pool := s.Pool(service.GetPool())
	if pool.GetKind() != clemwire.PoolKind_POOL_KIND_PLAIN {
		return clementineturn.Invalid("service.pool", "found %q, the name of a plain pool is needed", service.GetPool())
	}
	return nil
}

func (s *State) checkRule(rule *clemwire.Rule) error {
	if s.Service(rule.GetService()) == nil {
		return clementineturn.Invalid("rule.service", "no service %q", rule.GetService())
	}
	if rule.GetCall() != "*" && !namePattern.MatchString(rule.GetCall()) {
		return clementineturn.Invalid("rule.call", "found %q, a call's name or \"*\" is needed", rule.GetCall())
	}
	if other, ok := s.ruleByCall.get(callKey(rule)); ok && other.GetName() != rule.GetName() {
		return clementineturn.Invalid("rule.call", "rule %q covers the call", other.GetName())
	}
	if rule.GetMode() == clemwire.Mode_MODE_UNSPECIFIED {
		return clementineturn.Invalid("rule.mode", "allowed are idempotent and at_most_once")
	}
	if timeout := rule.GetTimeout().AsDuration(); timeout < 0 || timeout > maxTimeout {
		return clementineturn.Invalid("rule.timeout", "found %v, allowed is 0 to %v", timeout, maxTimeout)
	}
	return nil
}

func (s *State) checkUnreferenced(n entityKey) error {
	for _, entity := range s.entities.all() {
		used := false
		switch n.kind {
		case clemwire.EntityKind_ENTITY_KIND_POOL:
			used = entity.GetService().GetPool() == n.name
		case clemwire.EntityKind_ENTITY_KIND_SERVICE:
			used = entity.GetRule().GetService() == n.name
		}
		if used {
			user := keyOf(entity)
			return clementineturn.Refuse(clementineturn.KindConflict, "%s %q refers to %s %q", kindName(user.kind), user.name, kindName(n.kind), n.name)
		}
	}
	return nil
}

func checkObjective(field string, o *clemwire.Objective) error {
	if o == nil {
		return nil
	}
	if err := checkRange(field+".availability", o.GetAvailability(), 0.5, 0.999999); err != nil {
		return err
	}
	if o.GetFirst().AsDuration() <= 0 {
		return clementineturn.Invalid(field+".first", "found %v, a positive time is needed", o.GetFirst().AsDuration())
	}
	return checkRange(field+".share", o.GetShare(), 0.5, 0.999999)
}

func checkRange(field string, value, low, top float64) error {
	if value >= low && value <= top {
		return nil
	}
	return clementineturn.Invalid(field, "found %v, allowed is %v to %v", value, low, top)
}

func kindName(kind clemwire.EntityKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "ENTITY_KIND_"))
}
