package clemsetting

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

// validator collects the errors and the valid values of one settings file. The
// values are keyed by path.
type validator struct {
	errs   []*clementineturn.Error
	values map[string]any
}

func (v *validator) addError(path, format string, args ...any) {
	v.errs = append(v.errs, clementineturn.Invalid(path, format, args...))
}

func (v *validator) err() error {
	if len(v.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(v.errs, func(a, b *clementineturn.Error) int { return cmp.Compare(a.Field(), b.Field()) })
	return &ValidationError{errs: v.errs}
}

// checkSettings validates the whole file against keyTable.
func (v *validator) checkSettings(root map[string]any) *Settings {
	v.values = map[string]any{}
	role, _ := root["role"].(string)
	v.checkGroup("", "", role, root)
	s := &Settings{values: v.values}
	s.operators = v.checkOperators(role, root["operators"])
	v.crossCheck(s, role)
	return s
}

// checkGroup validates the keys of one object. The pattern is the object's path
// in keyTable, which within a list differs from the path in the file.
func (v *validator) checkGroup(path, pattern, role string, object map[string]any) {
	for name := range object {
		if _, ok := findKey(joinPath(pattern, name)); !ok || strings.ContainsAny(name, ".[]") {
			v.addUnknownKey(path, pattern, role, name)
		}
	}
	for _, key := range keyTable {
		name, ok := memberName(key.path, pattern)
		if !ok {
			continue
		}
		value, given := object[name]
		v.checkKey(key, joinPath(path, name), role, value, given)
	}
}

func (v *validator) checkKey(key Key, path, role string, value any, given bool) {
	ofOtherRole := key.role != "" && key.role != role && (role == RoleEntry || role == RoleSidecar)
	switch {
	case ofOtherRole && given:
		v.addError(path, "found the key in settings of role %q, allowed only for role %q", role, key.role)
		return
	case ofOtherRole:
		return
	case !given && key.required && (key.role == "" || key.role == role):
		v.addError(path, "found nothing, required: %s", key.Allowed())
		return
	case !given:
		if key.kind == KindGroup {
			v.checkGroup(path, key.path, role, nil)
		} else if key.defaultValue != nil {
			v.values[path] = key.defaultValue
		}
		return
	}
	if key.kind == KindGroup {
		object, ok := value.(map[string]any)
		if !ok {
			v.addError(path, "found %s, allowed: %s", describeValue(value), key.Allowed())
			return
		}
		v.checkGroup(path, key.path, role, object)
		return
	}
	check := valueChecks[key.kind]
	if check == nil {
		return
	}
	checked, ok := check(key, value)
	if !ok {
		v.addError(path, "found %s, allowed: %s", describeRefused(key, value), key.Allowed())
		return
	}
	v.values[path] = checked
}

func (v *validator) addUnknownKey(path, pattern, role, name string) {
	hint := fmt.Sprintf(", allowed are %s", strings.Join(memberNames(pattern, role), ", "))
	if suggestion := nearestKey(pattern, role, name); suggestion != "" {
		hint = fmt.Sprintf("; did you mean %q?", suggestion)
	}
	if !printableKey.MatchString(name) {
		name = fmt.Sprintf("%.64q", name)
	}
	v.addError(joinPath(path, name), "found an unknown key%s", hint)
}

// printableKey matches keys that an error can show without quoting.
var printableKey = regexp.MustCompile(`^[A-Za-z0-9_.\[\]-]{1,64}$`)

// memberNames returns the names of the keys that an object of the pattern may
// have in settings of the role.
func memberNames(pattern, role string) []string {
	var names []string
	for _, key := range keyTable {
		if name, ok := memberName(key.path, pattern); ok && (key.role == "" || key.role == role) {
			names = append(names, name)
		}
	}
	return names
}

func (v *validator) checkOperators(role string, value any) []Operator {
	if value == nil || role != RoleEntry {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		v.addError("operators", "found %s, allowed: a list of objects", describeValue(value))
		return nil
	}
	var operators []Operator
	names, digests := map[string]bool{}, map[string]bool{}
	for i, element := range list {
		path := fmt.Sprintf("operators[%d]", i)
		object, ok := element.(map[string]any)
		if !ok {
			v.addError(path, "found %s, allowed: an object with name and digest", describeValue(element))
			continue
		}
		v.checkGroup(path, "operators[]", role, object)
		name, _ := v.values[path+".name"].(string)
		digest, _ := v.values[path+".digest"].([]byte)
		if name != "" && names[name] {
			v.addError(path+".name", "found %q twice, allowed is a unique name", name)
		}
		if digest != nil && digests[string(digest)] {
			v.addError(path+".digest", "found a digest twice, allowed is one token per operator")
		}
		names[name], digests[string(digest)] = true, true
		operators = append(operators, Operator{name: name, digest: digest})
	}
	return operators
}

// memberName returns the last name of the key's path, and whether the key is a
// direct member of the object of the pattern.
func memberName(path, pattern string) (string, bool) {
	name := path
	if pattern != "" {
		var ok bool
		if name, ok = strings.CutPrefix(path, pattern+"."); !ok {
			return "", false
		}
	}
	return name, !strings.ContainsAny(name, ".[")
}

func findKey(path string) (Key, bool) {
	for _, key := range keyTable {
		if key.path == path {
			return key, true
		}
	}
	return Key{}, false
}

// nearestKey returns the name of the object's key that is most similar to the
// given one, or "" if none is similar enough to be a likely typing error.
func nearestKey(pattern, role, name string) string {
	best, distance := "", max(2, len(name)/3)+1
	for _, candidate := range memberNames(pattern, role) {
		if d := editDistance(strings.ToLower(name), candidate); d < distance {
			best, distance = candidate, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings in bytes. For a
// string of more than 64 bytes it returns an upper bound, to limit the work.
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
