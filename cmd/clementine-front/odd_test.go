package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	serversTable = "servers"
	// largestRow is the size limit of a row's value in bytes.
	largestRow = 65536
)

// oddServers are rows of another writer among those of backend servers.
func oddServers() map[string]string {
	row := func(field, value string) string {
		fields := map[string]string{"service": `"app"`, "address": `"127.0.0.1:9"`, "zone": `"z"`, "slots": "4", "state": `"ready"`, "seq": "1"}
		fields[field] = value
		var text []string
		for name, value := range fields {
			text = append(text, fmt.Sprintf("%q: %s", name, value))
		}
		return "{" + strings.Join(text, ", ") + "}"
	}
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	objects := func(depth int) string { return strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth) }
	return map[string]string{
		"nested alone": nested(largestRow / 2), "nested, never closed": strings.Repeat("[", largestRow),
		"nested objects": objects(largestRow / 7), "nested in a field": row("slots", nested(9000)),
		"nested in another field": row("later", nested(largestRow/4)), "nested in the address": row("address", objects(9000)),
		"large number": row("slots", "1e400"), "large whole number": row("slots", "9223372036854775807"), "larger whole number": row("slots", "92233720368547758070"),
		"long number": row("born", strings.Repeat("9", 400)), "negative number": row("slots", "-9223372036854775808"), "fraction": row("slots", "0.5"),
		"large sequence and slots": row("slots", "4611686018427387904"), "number as a text": row("slots", `"4"`),
		"port out of range": row("address", `"127.0.0.1:65536"`), "large port": row("address", `"127.0.0.1:99999999999999999999"`),
		"negative port": row("address", `"127.0.0.1:-1"`), "port 0": row("address", `"127.0.0.1:0"`), "no port": row("address", `"127.0.0.1"`),
		"no address": row("address", `""`), "a name": row("address", `"localhost:80"`), "every address": row("address", `"0.0.0.0:80"`), "a group": row("address", `"224.0.0.1:80"`),
		"long address": row("address", `"`+strings.Repeat("1", 60000)+`:80"`), "unknown state": row("state", `"odd"`), "no service": row("service", "null"),
		"no JSON": "\xff\xfe\x00", "empty": "", "null": "null", "a list": "[1]", "a text": `"app"`, "cut": `{"service": "app", `, "two values": "{} {}",
	}
}

// Guards against fronts that end, or no longer follow the list of servers, because of
// one odd row in it (LOST), and against servers that it takes away. One front reads
// the store, the other has the rows from the first alone.
func TestOddServerRowsChangeNothing(t *testing.T) {
	first := startFront(t)
	first.putConfiguration(1, "/a/")
	first.putServer("i-1", startServer(t, "i-1"))
	first.eventually(first.isReady)
	second := startFront(t, first)
	second.store.SetFailureStatus(http.StatusServiceUnavailable)
	fronts := []*testFront{first, second}
	requireServing := func(label string) {
		t.Helper()
		for _, f := range fronts {
			status, body := f.get("/a/x", "k1")
			require.Equal(t, http.StatusOK, status, "%s: %s", label, body)
			select {
			case err := <-f.ended:
				require.Fail(t, "a front ended", "%s: %v", label, err)
			default:
			}
		}
	}
	second.eventually(second.isReady)
	requireServing("no odd row")

	for name, value := range oddServers() {
		key := "odd " + name
		first.store.PutRow(clemstandin.ProviderRow{Table: serversTable, Key: key, Value: []byte(value)})
		first.store.PutRow(clemstandin.ProviderRow{Table: serversTable, Part: "other", Key: "i-1", Value: []byte(value)})
		first.store.PutRow(clemstandin.ProviderRow{Table: "clementine-entries", Key: key, Value: []byte(value)})
	}
	first.store.PutRow(clemstandin.ProviderRow{Table: serversTable, Part: "other", Key: "i-1", Removed: true})
	// The warnings about the rows above have to come within the limit of log lines.
	for _, key := range []string{"", "\r\nOther: x", strings.Repeat("i", 200)} {
		first.store.PutRow(clemstandin.ProviderRow{Table: serversTable, Key: key, Value: []byte("{")})
	}
	for _, f := range fronts {
		for name := range oddServers() {
			require.Eventually(t, func() bool { return f.hasLogLine("servers.odd " + name) }, waitTimeout, pollInterval, name)
		}
	}
	requireServing("odd rows")

	// The list is still followed, in changes and as a whole.
	for n, change := range []func(){func() {}, first.store.Compact} {
		change()
		old, next := fmt.Sprintf("i-%d", n+1), fmt.Sprintf("i-%d", n+2)
		first.putServer(next, startServer(t, next))
		first.store.Delete(serversTable, old)
		for _, f := range fronts {
			f.eventually(func() bool {
				return f.hasLogLine(fmt.Sprintf(`"server":"%s","service":"app"`, next)) && f.hasLogLine(fmt.Sprintf(`"server":"%s","view"`, old))
			})
		}
		requireServing(next)
	}
	started := time.Now()
	restarted := startFront(t, first, second)
	restarted.store.SetFailureStatus(http.StatusServiceUnavailable)
	fronts = append(fronts, restarted)
	restarted.eventually(restarted.isReady)
	requireServing(fmt.Sprintf("after a start in %v", time.Since(started)))
}
