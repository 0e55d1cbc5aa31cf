package clemsetting

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

// checker gathers the faults of one settings file.
type checker struct {
	faults []*clementineturn.Error
	values map[string]any
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, clementineturn.Invalid(path, format, args...))
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b *clementineturn.Error) int { return cmp.Compare(a.Field(), b.Field()) })
	return &Faults{faults: c.faults}
}

// settings checks the whole file against the table.
func (c *checker) settings(root map[string]any) *Settings {
	c.values = map[string]any{}
	role, _ := root["role"].(string)
	c.group("", "", role, root)
	s := &Settings{values: c.values}
	s.operators = c.operators(role, root["operators"])
	c.crossCheck(s, role)
	return s
}

// group checks the keys of one object. The pattern is the object's path in
// the table, which differs from the path in the file within a list.
func (c *checker) group(path, pattern, role string, object map[string]any) {
	for name := range object {
		if _, ok := find(join(pattern, name)); !ok || strings.ContainsAny(name, ".[]") {
			c.unknown(path, pattern, role, name)
		}
	}
	for _, key := range table {
		name, ok := member(key.path, pattern)
		if !ok {
			continue
		}
		value, given := object[name]
		c.key(key, join(path, name), role, value, given)
	}
}

func (c *checker) key(key Key, path, role string, value any, given bool) {
	foreign := key.role != "" && key.role != role && (role == RoleEntry || role == RoleSidecar)
	switch {
	case foreign && given:
		c.fault(path, "found the key in settings of role %q, allowed only for role %q", role, key.role)
		return
	case foreign:
		return
	case !given && key.required && (key.role == "" || key.role == role):
		c.fault(path, "found nothing, required: %s", key.Allowed())
		return
	case !given:
		if key.kind == KindGroup {
			c.group(path, key.path, role, nil)
		} else if key.initial != nil {
			c.values[path] = key.initial
		}
		return
	}
	if key.kind == KindGroup {
		object, ok := value.(map[string]any)
		if !ok {
			c.fault(path, "found %s, allowed: %s", describe(value), key.Allowed())
			return
		}
		c.group(path, key.path, role, object)
		return
	}
	check := checkers[key.kind]
	if check == nil {
		return
	}
	checked, ok := check(key, value)
	if !ok {
		c.fault(path, "found %s, allowed: %s", found(key, value), key.Allowed())
		return
	}
	c.values[path] = checked
}

func (c *checker) unknown(path, pattern, role, name string) {
	hint := fmt.Sprintf(", allowed are %s", strings.Join(members(pattern, role), ", "))
	if near := nearest(pattern, role, name); near != "" {
		hint = fmt.Sprintf("; did you mean %q?", near)
	}
	if !plainKey.MatchString(name) {
		name = fmt.Sprintf("%.64q", name)
	}
	c.fault(join(path, name), "found an unknown key%s", hint)
}

// plainKey matches keys that a fault can show as they are.
var plainKey = regexp.MustCompile(`^[A-Za-z0-9_.\[\]-]{1,64}$`)

// members returns the names that an object of the role may have.
func members(pattern, role string) []string {
	var names []string
	for _, key := range table {
		if name, ok := member(key.path, pattern); ok && (key.role == "" || key.role == role) {
			names = append(names, name)
		}
	}
	return names
}

func (c *checker) operators(role string, value any) []Operator {
	if value == nil || role != RoleEntry {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		c.fault("operators", "found %s, allowed: a list of objects", describe(value))
		return nil
	}
	var operators []Operator
	names, digests := map[string]bool{}, map[string]bool{}
	for i, element := range list {
		path := fmt.Sprintf("operators[%d]", i)
		object, ok := element.(map[string]any)
		if !ok {
			c.fault(path, "found %s, allowed: an object with name and digest", describe(element))
			continue
		}
		c.group(path, "operators[]", role, object)
		name, _ := c.values[path+".name"].(string)
		digest, _ := c.values[path+".digest"].([]byte)
		if name != "" && names[name] {
			c.fault(path+".name", "found %q twice, allowed is a unique name", name)
		}
		if digest != nil && digests[string(digest)] {
			c.fault(path+".digest", "found a digest twice, allowed is one token per operator")
		}
		names[name], digests[string(digest)] = true, true
		operators = append(operators, Operator{name: name, digest: digest})
	}
	return operators
}

// member returns the key's name if it stands directly in the object of the pattern.
func member(path, pattern string) (string, bool) {
	name := path
	if pattern != "" {
		var ok bool
		if name, ok = strings.CutPrefix(path, pattern+"."); !ok {
			return "", false
		}
	}
	return name, !strings.ContainsAny(name, ".[")
}

func find(path string) (Key, bool) {
	for _, key := range table {
		if key.path == path {
			return key, true
		}
	}
	return Key{}, false
}

// nearest returns the key of the object whose name is closest to the given
// one, or "" if none is close.
func nearest(pattern, role, name string) string {
	best, distance := "", max(2, len(name)/3)+1
	for _, candidate := range members(pattern, role) {
		if d := editDistance(strings.ToLower(name), candidate); d < distance {
			best, distance = candidate, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings in bytes.
func editDistance(a, b string) int {
	if len(a) > 64 {
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
