package clemplatform_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemplatform"
)

// Guards against a list of hosts that is no longer followed because of one odd element.
func TestOddHostsChangeNothing(t *testing.T) {
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	for name, c := range map[string]struct{ odd, field string }{
		"nested":                  {nested(100_000), "hosts.1"},
		"nested in a field":       {`{"name": "x", "address": ` + nested(100_000) + `}`, "hosts.1"},
		"nested in another field": {`{"name": "x", "more": ` + nested(100_000) + `}`, "hosts.1"},
		"nested objects":          {strings.Repeat(`{"more":`, 100_000) + "1" + strings.Repeat("}", 100_000), "hosts.1"},
		"large number":            {`{"name": 1e400}`, "hosts.1"},
		"long number":             {`{"name": ` + strings.Repeat("9", 100_000) + `}`, "hosts.1"},
		"number for a boolean":    {`{"name": "x", "leaving": 9223372036854775808}`, "hosts.1"},
		"port out of range":       {`{"name": "x", "address": "10.0.0.1:65536"}`, "hosts.1.address"},
		"large port":              {`{"name": "x", "address": "10.0.0.1:99999999999999999999"}`, "hosts.1.address"},
		"port 0":                  {`{"name": "x", "address": "10.0.0.1:0"}`, "hosts.1.address"},
		"no port":                 {`{"name": "x", "address": "10.0.0.1"}`, "hosts.1.address"},
		"operators' port":         {`{"name": "x", "address": "10.0.0.1:1", "admin": "10.0.0.1:65536"}`, "hosts.1.admin"},
		"no name":                 {`{"address": "10.0.0.1:1"}`, "hosts.1.name"},
		"null":                    {"null", "hosts.1"},
		"a text":                  {`"x"`, "hosts.1"},
	} {
		t.Run(name, func(t *testing.T) {
			list := fmt.Sprintf(`{"more": [{}], "hosts": [{"name": "a", "address": "10.0.0.1:1"}, %s ,{"name": "b", "address": "b:2"}], "later": 1e400}`, c.odd)
			var invalid []error
			hosts, err := clemplatform.DecodeHosts([]byte(list), func(err error) { invalid = append(invalid, err) })
			require.NoError(t, err)
			require.Len(t, hosts, 2)
			require.Equal(t, []string{"a", "b", "b:2"}, []string{hosts[0].GetName(), hosts[1].GetName(), hosts[1].GetAddress()})
			require.Len(t, invalid, 1)
			require.Equal(t, c.field, clementineturn.AsError(invalid[0]).Field())
		})
	}
	for _, list := range []string{"", "[]", `{"hosts": 7}`, `{"hosts": [` + nested(100_000), `{"hosts": [` + nested(100_000) + `] no}`} {
		_, err := clemplatform.DecodeHosts([]byte(list), nil)
		require.Error(t, err)
	}
}
