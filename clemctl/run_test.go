package clemctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemboard"
	"github.com/clementineturn/clementineturn/clemcli"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemops"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

var updateGolden = flag.Bool("update", false, "write the golden files")

const token = "ana-token-0123456789"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeLedger is a ledger with one call.
type fakeLedger struct {
	clementineturn.Ledger
	record *clemwire.Record
}

func (l *fakeLedger) Lookup(_ context.Context, organisation, key string) (*clemwire.Record, error) {
	claim := l.record.GetClaim()
	if claim.GetOrganisation() != organisation || claim.GetKey() != key {
		return nil, clementineturn.Refuse(clementineturn.KindNotFound, "no call %q of %q", key, organisation)
	}
	return proto.CloneOf(l.record), nil
}

func (l *fakeLedger) Advance(_ context.Context, record *clemwire.Record) error {
	l.record = proto.CloneOf(record)
	return nil
}

// fakePeers answers for one host; calls to others fail.
type fakePeers struct{}

type fakePeer struct {
	clementineturn.Peer
	address string
}

func (fakePeers) Peer(address string) clementineturn.Peer { return fakePeer{address: address} }

func (p fakePeer) err() error {
	if p.address == "10.0.0.1:1" {
		return nil
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "no connection")
}

func (p fakePeer) Probe(context.Context) (*clemwire.Probed, error) {
	return &clemwire.Probed{Node: "entry-1", Role: "entry", Generation: 3, Incarnation: 9, Ready: true}, p.err()
}

func (p fakePeer) Gather(context.Context) (*clemwire.Gathered, error) {
	return &clemwire.Gathered{Node: "entry-1", Counts: []*clemwire.Count{
		{Organisation: "acme", Pool: "cribs", Window: durationpb.New(5 * time.Minute), Total: 1000, Failed: 2, Slow: 10},
	}}, p.err()
}

// fixture is a server with the operators' interface and the output of the last
// run.
type fixture struct {
	url      string
	handler  http.Handler
	table    *clemstandin.Table
	ledger   *fakeLedger
	out, err bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{table: clemstandin.NewTable(), ledger: &fakeLedger{record: &clemwire.Record{
		State: clemwire.ClaimState_CLAIM_STATE_UNKNOWN,
		Claim: &clemwire.Claim{Organisation: "acme", Key: "pay-1", Token: "t1", Server: "srv-1", Incarnation: 4, Request: "r1", Time: timestamppb.New(time.Unix(1e9, 0))},
	}}}
	board := clemboard.New()
	board.Members().Set(clemboard.NewMembers([]*clemwire.Host{
		{Name: "entry-1", Address: "10.0.0.1:1", Role: "entry"}, {Name: "entry-2", Address: "10.0.0.2:1", Role: "entry"},
	}))
	digest := sha256.Sum256([]byte(token))
	router := chi.NewRouter()
	clemops.New(clemops.Config{
		Board: board, Log: clemconfig.NewLog(clemconfig.LogConfig{Table: f.table}), Ledger: f.ledger, Peers: fakePeers{},
		OnNewState: board.Config().Set, Operators: []clemops.Operator{clemsetting.NewOperator("ana", digest[:])},
	}).Mount(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	f.url, f.handler = server.URL, router
	return f
}

// run runs one command with the given standard input. Token and address are in
// the environment.
func (f *fixture) run(t *testing.T, input string, args ...string) int {
	t.Helper()
	f.out.Reset()
	f.err.Reset()
	env := map[string]string{envToken: token, envAddress: f.url}
	return Run(t.Context(), Config{
		Args: args, In: strings.NewReader(input), Out: &f.out, Err: &f.err,
		Env: func(name string) string { return env[name] },
	})
}

const (
	organisationJSON = `{"organisation": {"name": "acme", "weight": 10, "queue": 50, "objective": {"availability": 0.99, "first": "0.5s", "share": 0.9}}}`
	modelPoolJSON    = `{"pool": {"name": "cribs", "kind": "POOL_KIND_MODEL", "model": "crib-1", "bound": 1.25, "slots": 8, "long_cost": 4000, "long_share": 0.5, "hedge": 0.02}}`
	plainPoolJSON    = `{"pool": {"name": "orders", "kind": "POOL_KIND_PLAIN", "bound": 2, "slots": 8, "long_cost": 4000, "long_share": 0.5}}`
	serviceJSON      = `{"service": {"name": "cots", "pool": "orders"}}`
	ruleJSON         = `{"rule": {"name": "reserve", "service": "cots", "call": "reserve", "mode": "MODE_AT_MOST_ONCE", "timeout": "30s"}}`
)

// newSeededFixture returns a fixture whose configuration has at least one entity
// of each kind.
func newSeededFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	for _, seed := range [][2]string{
		{"organisation", organisationJSON},
		{"pool", modelPoolJSON},
		{"pool", plainPoolJSON},
		{"service", serviceJSON},
		{"rule", ruleJSON},
		{"engine", `{"engine": {"name": "srv-1", "fencing": true}}`},
	} {
		require.Zero(t, f.run(t, seed[1], "create", seed[0], "--file", "-"), f.err.String())
	}
	require.Zero(t, f.run(t, "", "drain", "srv-9"), f.err.String())
	return f
}

// The output of the commands, as tables and as JSON, matches the golden files.
func TestGoldenOutput(t *testing.T) {
	for name, args := range map[string][]string{
		"list-organisation":      {"list", "organisation"},
		"list-organisation-json": {"list", "organisation", "--json"},
		"list-pool":              {"list", "pool"},
		"list-engine":            {"list", "engine"},
		"list-service":           {"list", "service"},
		"list-rule":              {"list", "rule"},
		"list-drain":             {"list", "drain"},
		"show-pool":              {"show", "pool", "cribs"},
		"generations":            {"generations"},
		"generations-json":       {"--json", "generations"},
		"burn":                   {"burn"},
		"burn-json":              {"burn", "-j"},
		"claim-show":             {"claim", "show", "acme", "pay-1"},
		"claim-ran":              {"claim", "resolve", "acme", "pay-1", "--ran"},
		"claim-void-json":        {"claim", "resolve", "acme", "pay-1", "--void", "--json"},
		"undrain":                {"undrain", "srv-9"},
		"delete-json":            {"delete", "rule", "reserve", "--json"},
		"not-found":              {"delete", "rule", "nothing"},
		"not-found-json":         {"delete", "rule", "nothing", "--json"},
		"invalid":                {"list", "poool"},
		"help":                   {"--help"},
		"help-resolve":           {"claim", "resolve", "--help"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSeededFixture(t)
			requireGolden(t, name, f.run(t, "", args...), f)
		})
	}
}

func requireGolden(t *testing.T, name string, code int, f *fixture) {
	t.Helper()
	got := "exit " + string(rune('0'+code)) + "\n--- out\n" + f.out.String() + "--- err\n" + f.err.String()
	path := filepath.Join("testdata", name+".golden")
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// The output of show can be edited and passed to update. A second update from the
// same generation fails with a conflict.
func TestShowEditUpdate(t *testing.T) {
	f := newSeededFixture(t)
	require.Zero(t, f.run(t, "", "show", "organisation", "acme"))
	edited := regexp.MustCompile(`"weight": *10`).ReplaceAllString(f.out.String(), `"weight": 20`)
	file := filepath.Join(t.TempDir(), "acme.json")
	require.NoError(t, os.WriteFile(file, []byte(edited), 0o600))
	require.Zero(t, f.run(t, "", "update", "organisation", "--file", file), f.err.String())
	require.Equal(t, "generation 8\n", f.out.String())
	require.Equal(t, clemcli.ExitConflict, f.run(t, "", "update", "organisation", "--file", file))
	require.Contains(t, f.err.String(), "conflict: ")
}

func TestRepeatWithID(t *testing.T) {
	f := newFixture(t)
	for range 2 {
		require.Zero(t, f.run(t, organisationJSON, "create", "organisation", "--file=-", "--id", "once"), f.err.String())
		require.Equal(t, "generation 1\n", f.out.String())
	}
}

func TestKeyAdd(t *testing.T) {
	f := newSeededFixture(t)
	require.Zero(t, f.run(t, "", "key", "add", "acme", "web"), f.err.String())
	require.Regexp(t, `^generation 8\nkey ct-[A-Z2-7]{26}\n$`, f.out.String())
	require.Equal(t, clemcli.ExitFailed, f.run(t, "", "key", "add", "acme", "web"))
	require.Contains(t, f.err.String(), "exists: name: ")
}

func TestResolveWithAnswer(t *testing.T) {
	f := newFixture(t)
	require.Zero(t, f.run(t, `{"paid":true}`, "claim", "resolve", "acme", "pay-1", "--ran", "--answer", "-", "--status", "201"), f.err.String())
	require.JSONEq(t, `{"paid":true}`, string(f.ledger.record.GetOutcome().GetBody()))
	require.EqualValues(t, 201, f.ledger.record.GetOutcome().GetStatus())
	require.Equal(t, "ana", f.ledger.record.GetAuthor())
}

func TestExitCodes(t *testing.T) {
	f := newSeededFixture(t)
	for name, tc := range map[string]struct {
		code int
		text string
		args []string
	}{
		"no command":         {clemcli.ExitUsage, "a command is needed", nil},
		"group alone":        {clemcli.ExitUsage, "a command is needed", []string{"claim"}},
		"unknown command":    {clemcli.ExitUsage, `unknown command "destroy"`, []string{"destroy"}},
		"unknown subcommand": {clemcli.ExitUsage, `unknown command "forget"`, []string{"claim", "forget"}},
		"unknown flag":       {clemcli.ExitUsage, "force", []string{"list", "pool", "--force"}},
		"flag of another":    {clemcli.ExitUsage, "ran", []string{"burn", "--ran"}},
		"missing argument":   {clemcli.ExitUsage, "NAME", []string{"delete", "pool"}},
		"extra argument":     {clemcli.ExitUsage, "more", []string{"burn", "more"}},
		"missing value":      {clemcli.ExitUsage, "address", []string{"burn", "--address"}},
		"bad address":        {clemcli.ExitUsage, "--address", []string{"burn", "--address", "10.0.0.1:80"}},
		"token and fault":    {clemcli.ExitUsage, "poool", []string{"list", "poool", "--token", token}},
		"token and flag":     {clemcli.ExitUsage, "force", []string{"--token", token, "burn", "--force"}},
		"empty argument":     {clemcli.ExitUsage, "argument 2 is empty", []string{"drain", ""}},
		"empty value":        {clemcli.ExitUsage, "argument 3 is empty", []string{"burn", "--token", ""}},
		"bad token":          {clemcli.ExitUsage, "--token", []string{"burn", "--token", "a\nb"}},
		"no file":            {clemcli.ExitUsage, "--file", []string{"create", "pool"}},
		"ran and void":       {clemcli.ExitUsage, "--ran and --void", []string{"claim", "resolve", "a", "b", "--ran", "--void"}},
		"void with answer":   {clemcli.ExitUsage, "--answer", []string{"claim", "resolve", "a", "b", "--void", "--answer", "x"}},
		"bad status":         {clemcli.ExitUsage, "--status", []string{"claim", "resolve", "a", "b", "--ran", "--status", "99"}},
		"absent file":        {clemcli.ExitFailed, "not_found", []string{"create", "pool", "--file", "testdata/absent"}},
		"other kind":         {clemcli.ExitFailed, `"pool" is needed`, []string{"create", "pool", "--file", "testdata/rule.json"}},
		"misspelt field":     {clemcli.ExitFailed, "slotz", []string{"create", "pool", "--file", "testdata/misspelt.json"}},
		"wrong token":        {clemcli.ExitFailed, "unauthenticated", []string{"burn", "--token", "wrong"}},
		"unreachable":        {clemcli.ExitUnreachable, "unavailable", []string{"burn", "--address", "http://127.0.0.1:1"}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.code, f.run(t, "", tc.args...), f.err.String())
			require.Contains(t, f.err.String(), tc.text)
			require.Empty(t, f.out.String())
			require.NotContains(t, f.err.String(), token)
			require.NotContains(t, f.err.String(), "may have taken effect", "no such command changed anything")
		})
	}
	f.table.Inject(clemstandin.TableFaults{Down: true})
	require.Equal(t, clemcli.ExitUnreachable, f.run(t, "", "drain", "srv-1"))
	require.NotContains(t, f.err.String(), "may have taken effect", "the store refused before any write")
	f.table.Inject(clemstandin.TableFaults{LateWrites: 1, LateWriteDelay: time.Hour})
	require.Equal(t, clemcli.ExitUnreachable, f.run(t, "", "drain", "srv-1", "--id", "d1"))
	require.Contains(t, f.err.String(), "--id d1")
	require.Equal(t, clemcli.ExitUnreachable, f.run(t, "", "claim", "resolve", "acme", "k", "--ran", "--address", "http://127.0.0.1:1"))
	require.Contains(t, f.err.String(), "The request may have taken effect. Look at the claim")
}

func TestNoToken(t *testing.T) {
	var out bytes.Buffer
	code := Run(t.Context(), Config{Args: []string{"burn", "--address", "http://127.0.0.1:1"}, Err: &out})
	require.Equal(t, clemcli.ExitUsage, code)
	require.Contains(t, out.String(), "--token")
}

// The commands for the first configuration in docs/operating/run.md succeed.
func TestFirstConfigurationOfPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operating/run.md")
	require.NoError(t, err)
	commands := regexp.MustCompile(`(?s)clementine ctl create (\w+) --file - <<'END'\n(.*?)\nEND`).FindAllStringSubmatch(string(page), -1)
	require.Len(t, commands, 5)
	f := newFixture(t)
	for _, command := range commands {
		require.Zero(t, f.run(t, command[2], "create", command[1], "--file", "-"), f.err.String())
	}
	require.Zero(t, f.run(t, "", "key", "add", "acme", "web"), f.err.String())
}
