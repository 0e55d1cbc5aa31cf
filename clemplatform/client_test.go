package clemplatform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemplatform"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const timeout = 2 * time.Second

// bench is a platform and a client of it on an in-memory network.
type bench struct {
	platform *clemstandin.Platform
	server   *http.Server
	client   *clemplatform.Client
}

// inBubble runs the test in virtual time.
func inBubble(t *testing.T, c clemstandin.PlatformConfig, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		platform, err := clemstandin.NewPlatform(c)
		require.NoError(t, err)
		b := &bench{platform: platform, server: &http.Server{Handler: platform}}
		ended := make(chan error, 1)
		listener := network.Listen("platform:80")
		go func() { ended <- b.server.Serve(listener) }()
		synctest.Wait()
		b.client = clemplatform.New(clemplatform.Config{URL: "http://platform:80", Client: network.Client(), Timeout: timeout})
		t.Cleanup(func() {
			b.client.Close()
			require.NoError(t, b.server.Close())
			require.ErrorIs(t, <-ended, http.ErrServerClosed)
		})
		test(t, b)
	})
}

func requireKind(t *testing.T, kind clementineturn.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind.String(), clementineturn.AsError(err).Kind().String(), err)
}

func TestTableConditionalWrites(t *testing.T) {
	for _, key := range []string{"a", "config/00001", "a b%2F", "ü", "..", "a?b#c", "/"} {
		t.Run(key, func(t *testing.T) {
			inBubble(t, clemstandin.PlatformConfig{}, func(t *testing.T, b *bench) {
				checkConditions(t, b.client.Table(), key)
				_, err := b.platform.Table().Get(t.Context(), key)
				requireKind(t, clementineturn.KindNotFound, err)
			})
		})
	}
}

func checkConditions(t *testing.T, table clementineturn.Table, key string) {
	ctx := t.Context()
	_, err := table.Get(ctx, key)
	requireKind(t, clementineturn.KindNotFound, err)
	first, err := table.Put(ctx, key, []byte("1"), "")
	require.NoError(t, err)
	_, err = table.Put(ctx, key, []byte("2"), "")
	requireKind(t, clementineturn.KindConflict, err)
	second, err := table.Put(ctx, key, []byte("3"), first.Version())
	require.NoError(t, err)
	_, err = table.Put(ctx, key, []byte("4"), first.Version())
	requireKind(t, clementineturn.KindConflict, err)
	found, err := table.Get(ctx, key)
	require.NoError(t, err)
	require.Equal(t, second, found)
	require.Equal(t, "3", string(found.Value()))
	requireKind(t, clementineturn.KindConflict, table.Delete(ctx, key, first.Version()))
	require.NoError(t, table.Delete(ctx, key, second.Version()))
	requireKind(t, clementineturn.KindConflict, table.Delete(ctx, key, second.Version()))
}

// TestTableFaults writes under each fault and reads the row afterwards.
func TestTableFaults(t *testing.T) {
	tests := map[string]struct {
		faults clemstandin.Faults
		kind   clementineturn.Kind
		now    string
		later  string
	}{
		"down":    {clemstandin.Faults{Down: true}, clementineturn.KindUnavailable, "old", "old"},
		"lost":    {clemstandin.Faults{Lost: 1}, clementineturn.KindUnknown, "new", "new"},
		"late":    {clemstandin.Faults{Late: 1, After: clemstandin.Duration(time.Minute)}, clementineturn.KindUnknown, "old", "new"},
		"rate":    {clemstandin.Faults{Writes: 1e-9}, clementineturn.KindUnavailable, "old", "old"},
		"timeout": {clemstandin.Faults{Delay: clemstandin.Duration(2 * timeout)}, clementineturn.KindUnknown, "old", "old"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, clemstandin.PlatformConfig{}, func(t *testing.T, b *bench) {
				row, err := b.client.Table().Put(t.Context(), "k", []byte("old"), "")
				require.NoError(t, err)
				b.platform.Inject(clemstandin.PlatformFaults{Table: test.faults})
				if test.faults.Writes > 0 {
					// The burst allows one write.
					_, err = b.client.Table().Put(t.Context(), "other", nil, "")
					require.NoError(t, err)
				}
				_, err = b.client.Table().Put(t.Context(), "k", []byte("new"), row.Version())
				requireKind(t, test.kind, err)
				b.platform.Inject(clemstandin.PlatformFaults{})
				requireValue(t, b, test.now)
				time.Sleep(2 * time.Minute)
				requireValue(t, b, test.later)
			})
		})
	}
}

// TestLostWriteSentOnce loses the answer of a write on a reused connection,
// which is where net/http would send a replayable request again.
func TestLostWriteSentOnce(t *testing.T) {
	inBubble(t, clemstandin.PlatformConfig{}, func(t *testing.T, b *bench) {
		row, err := b.client.Table().Put(t.Context(), "k", nil, "")
		require.NoError(t, err)
		b.platform.Inject(clemstandin.PlatformFaults{Table: clemstandin.Faults{Lost: 1}})
		before := b.platform.Counts().Table.Writes
		requireKind(t, clementineturn.KindUnknown, b.client.Table().Delete(t.Context(), "k", row.Version()))
		require.Equal(t, before+1, b.platform.Counts().Table.Writes)
	})
}

func requireValue(t *testing.T, b *bench, want string) {
	t.Helper()
	row, err := b.client.Table().Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, want, string(row.Value()))
}

func TestUnreachable(t *testing.T) {
	inBubble(t, clemstandin.PlatformConfig{}, func(t *testing.T, b *bench) {
		require.NoError(t, b.server.Close())
		b.client.Close()
		_, err := b.client.Table().Put(t.Context(), "k", nil, "")
		requireKind(t, clementineturn.KindUnavailable, err)
		_, _, err = b.client.Hosts().List(t.Context(), "")
		requireKind(t, clementineturn.KindUnavailable, err)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		requireKind(t, clementineturn.KindUnavailable, b.client.Objects().Put(ended, "o", nil))
	})
}

func TestObjects(t *testing.T) {
	inBubble(t, clemstandin.PlatformConfig{}, func(t *testing.T, b *bench) {
		objects := b.client.Objects()
		_, err := objects.Get(t.Context(), "a/b")
		requireKind(t, clementineturn.KindNotFound, err)
		b.platform.Inject(clemstandin.PlatformFaults{Objects: clemstandin.Faults{Lost: 1}})
		requireKind(t, clementineturn.KindUnknown, objects.Put(t.Context(), "a/b", []byte("x")))
		require.NoError(t, objects.Put(t.Context(), "a/b", []byte("x")), "a repeat has no effect")
		requireKind(t, clementineturn.KindConflict, objects.Put(t.Context(), "a/b", []byte("y")))
		value, err := objects.Get(t.Context(), "a/b")
		require.NoError(t, err)
		require.Equal(t, "x", string(value))
	})
}

func TestHostsLag(t *testing.T) {
	const lag = 5 * time.Second
	faults := clemstandin.PlatformFaults{Hosts: clemstandin.Faults{Lag: clemstandin.Duration(lag)}}
	inBubble(t, clemstandin.PlatformConfig{Faults: faults}, func(t *testing.T, b *bench) {
		list := b.client.Hosts()
		b.platform.Hosts().Set(&clemwire.Host{Name: "s1", Address: "10.0.0.1:1", Role: "sidecar", Pool: "p"})
		hosts, old, err := list.List(t.Context(), "")
		require.NoError(t, err)
		require.Empty(t, hosts)
		time.Sleep(lag)
		hosts, version, err := list.List(t.Context(), old)
		require.NoError(t, err)
		require.Len(t, hosts, 1)
		require.True(t, b.platform.Hosts().Leave("s1"))
		hosts, same, err := list.List(t.Context(), version)
		require.NoError(t, err)
		require.Empty(t, hosts)
		require.Equal(t, version, same)
		time.Sleep(lag)
		hosts, _, err = list.List(t.Context(), version)
		require.NoError(t, err)
		require.True(t, hosts[0].GetLeaving())
	})
}

func TestHostsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "hosts.json")
	write := func(names ...string) {
		var hosts []*clemwire.Host
		for _, name := range names {
			hosts = append(hosts, &clemwire.Host{Name: name, Role: "entry"})
		}
		data, err := clemplatform.EncodeHosts(hosts)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file, data, 0o600))
	}
	write("e1")
	platform, err := clemstandin.NewPlatform(clemstandin.PlatformConfig{File: file})
	require.NoError(t, err)
	server := httptest.NewServer(platform)
	defer server.Close()
	client := clemplatform.New(clemplatform.Config{URL: server.URL + "/"})
	defer client.Close()
	hosts, version, err := client.Hosts().List(t.Context(), "")
	require.NoError(t, err)
	require.Len(t, hosts, 1)
	write("e1", "e2")
	hosts, _, err = client.Hosts().List(t.Context(), version)
	require.NoError(t, err)
	require.Len(t, hosts, 2)
	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	_, _, err = client.Hosts().List(t.Context(), version)
	requireKind(t, clementineturn.KindUnavailable, err)
}

// FuzzDecodeHosts reads lists from outside.
func FuzzDecodeHosts(f *testing.F) {
	f.Add([]byte(`{"hosts":[{"name":"a","address":"10.0.0.1:1","role":"entry","more":1}]}`))
	f.Add([]byte(`{"hosts":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		hosts, err := clemplatform.DecodeHosts(data)
		if err != nil {
			return
		}
		encoded, err := clemplatform.EncodeHosts(hosts)
		require.NoError(t, err)
		again, err := clemplatform.DecodeHosts(encoded)
		require.NoError(t, err)
		require.Len(t, again, len(hosts))
	})
}

func ExampleNew() {
	platform, err := clemstandin.NewPlatform(clemstandin.PlatformConfig{})
	if err != nil {
		panic(err)
	}
	server := httptest.NewServer(platform)
	defer server.Close()
	client := clemplatform.New(clemplatform.Config{URL: server.URL, Timeout: time.Second})
	defer client.Close()
	row, _ := client.Table().Put(context.Background(), "greeting", []byte("hello"), "")
	_, err = client.Table().Put(context.Background(), "greeting", []byte("again"), "")
	fmt.Println(string(row.Value()), clementineturn.IsKind(err, clementineturn.KindConflict))
	// Output: hello true
}
