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

// fixture is a stand-in of the platform and a client on an in-memory network.
type fixture struct {
	platform *clemstandin.Platform
	server   *http.Server
	client   *clemplatform.Client
}

// withFixture runs the test in a synctest bubble, in virtual time.
func withFixture(t *testing.T, c clemstandin.PlatformConfig, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := clemstandin.NewNetwork()
		platform, err := clemstandin.NewPlatform(c)
		require.NoError(t, err)
		f := &fixture{platform: platform, server: &http.Server{Handler: platform}}
		serveErr := make(chan error, 1)
		listener := network.Listen("platform:80")
		go func() { serveErr <- f.server.Serve(listener) }()
		synctest.Wait()
		f.client = clemplatform.New(clemplatform.Config{URL: "http://platform:80", Client: network.Client(), Timeout: timeout})
		t.Cleanup(func() {
			f.client.Close()
			require.NoError(t, f.server.Close())
			require.ErrorIs(t, <-serveErr, http.ErrServerClosed)
		})
		test(t, f)
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
			withFixture(t, clemstandin.PlatformConfig{}, func(t *testing.T, f *fixture) {
				checkConditions(t, f.client.Table(), key)
				_, err := f.platform.Table().Get(t.Context(), key)
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

// TestTableFaults writes under each fault, then reads the row without faults,
// at once and two minutes later.
func TestTableFaults(t *testing.T) {
	tests := map[string]struct {
		faults clemstandin.Faults
		kind   clementineturn.Kind
		now    string
		later  string
	}{
		"down":    {clemstandin.Faults{Down: true}, clementineturn.KindUnavailable, "old", "old"},
		"lost":    {clemstandin.Faults{LostAnswers: 1}, clementineturn.KindUnknown, "new", "new"},
		"late":    {clemstandin.Faults{LateWrites: 1, LateWriteDelay: clemstandin.Duration(time.Minute)}, clementineturn.KindUnknown, "old", "new"},
		"rate":    {clemstandin.Faults{MaxWritesPerSecond: 1e-9}, clementineturn.KindUnavailable, "old", "old"},
		"timeout": {clemstandin.Faults{Delay: clemstandin.Duration(2 * timeout)}, clementineturn.KindUnknown, "old", "old"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withFixture(t, clemstandin.PlatformConfig{}, func(t *testing.T, f *fixture) {
				row, err := f.client.Table().Put(t.Context(), "k", []byte("old"), "")
				require.NoError(t, err)
				f.platform.Inject(clemstandin.PlatformFaults{Table: test.faults})
				if test.faults.MaxWritesPerSecond > 0 {
					// The burst allows one write.
					_, err = f.client.Table().Put(t.Context(), "other", nil, "")
					require.NoError(t, err)
				}
				_, err = f.client.Table().Put(t.Context(), "k", []byte("new"), row.Version())
				requireKind(t, test.kind, err)
				f.platform.Inject(clemstandin.PlatformFaults{})
				requireValue(t, f, test.now)
				time.Sleep(2 * time.Minute)
				requireValue(t, f, test.later)
			})
		})
	}
}

// TestLostWriteSentOnce drops the response to a write on a reused connection.
// net/http would resend a replayable request there, which would run it twice.
func TestLostWriteSentOnce(t *testing.T) {
	withFixture(t, clemstandin.PlatformConfig{}, func(t *testing.T, f *fixture) {
		row, err := f.client.Table().Put(t.Context(), "k", nil, "")
		require.NoError(t, err)
		f.platform.Inject(clemstandin.PlatformFaults{Table: clemstandin.Faults{LostAnswers: 1}})
		before := f.platform.Counts().Table.Writes
		requireKind(t, clementineturn.KindUnknown, f.client.Table().Delete(t.Context(), "k", row.Version()))
		require.Equal(t, before+1, f.platform.Counts().Table.Writes)
	})
}

func requireValue(t *testing.T, f *fixture, want string) {
	t.Helper()
	row, err := f.client.Table().Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, want, string(row.Value()))
}

func TestUnreachable(t *testing.T) {
	withFixture(t, clemstandin.PlatformConfig{}, func(t *testing.T, f *fixture) {
		require.NoError(t, f.server.Close())
		f.client.Close()
		_, err := f.client.Table().Put(t.Context(), "k", nil, "")
		requireKind(t, clementineturn.KindUnavailable, err)
		_, _, err = f.client.Hosts().List(t.Context(), "")
		requireKind(t, clementineturn.KindUnavailable, err)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		requireKind(t, clementineturn.KindUnavailable, f.client.Objects().Put(cancelled, "o", nil))
	})
}

func TestObjects(t *testing.T) {
	withFixture(t, clemstandin.PlatformConfig{}, func(t *testing.T, f *fixture) {
		objects := f.client.Objects()
		_, err := objects.Get(t.Context(), "a/b")
		requireKind(t, clementineturn.KindNotFound, err)
		f.platform.Inject(clemstandin.PlatformFaults{Objects: clemstandin.Faults{LostAnswers: 1}})
		requireKind(t, clementineturn.KindUnknown, objects.Put(t.Context(), "a/b", []byte("x")))
		require.NoError(t, objects.Put(t.Context(), "a/b", []byte("x")), "a repeated write has no effect")
		requireKind(t, clementineturn.KindConflict, objects.Put(t.Context(), "a/b", []byte("y")))
		value, err := objects.Get(t.Context(), "a/b")
		require.NoError(t, err)
		require.Equal(t, "x", string(value))
	})
}

func TestHostListLag(t *testing.T) {
	const lag = 5 * time.Second
	faults := clemstandin.PlatformFaults{Hosts: clemstandin.Faults{Lag: clemstandin.Duration(lag)}}
	withFixture(t, clemstandin.PlatformConfig{Faults: faults}, func(t *testing.T, f *fixture) {
		list := f.client.Hosts()
		f.platform.Hosts().Set(&clemwire.Host{Name: "s1", Address: "10.0.0.1:1", Role: "sidecar", Pool: "p"})
		hosts, old, err := list.List(t.Context(), "")
		require.NoError(t, err)
		require.Empty(t, hosts)
		time.Sleep(lag)
		hosts, version, err := list.List(t.Context(), old)
		require.NoError(t, err)
		require.Len(t, hosts, 1)
		require.True(t, f.platform.Hosts().Drain("s1"))
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
	platform, err := clemstandin.NewPlatform(clemstandin.PlatformConfig{HostsFile: file})
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

// FuzzDecodeHosts checks that decoded lists survive an encoding.
func FuzzDecodeHosts(f *testing.F) {
	f.Add([]byte(`{"hosts":[{"name":"a","address":"10.0.0.1:1","role":"entry","more":1}]}`))
	f.Add([]byte(`{"hosts":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		hosts, err := clemplatform.DecodeHosts(data, nil)
		if err != nil {
			return
		}
		encoded, err := clemplatform.EncodeHosts(hosts)
		require.NoError(t, err)
		again, err := clemplatform.DecodeHosts(encoded, nil)
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
