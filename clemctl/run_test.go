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

// ledger holds one call.
type ledger struct {
	clementineturn.Ledger
	record *clemwire.Record
}

func (l *ledger) Lookup(_ context.Context, organisation, key string) (*clemwire.Record, error) {
	claim := l.record.GetClaim()
	if claim.GetOrganisation() != organisation || claim.GetKey() != key {
		return nil, clementineturn.Refuse(clementineturn.KindNotFound, "no call %q of %q", key, organisation)
	}
	return proto.CloneOf(l.record), nil
}

func (l *ledger) Advance(_ context.Context, record *clemwire.Record) error {
	l.record = proto.CloneOf(record)
	return nil
}

// peers answers for one host and refuses for others.
type peers struct{}

type peer struct {
	clementineturn.Peer
	address string
}

func (peers) Peer(address string) clementineturn.Peer { return peer{address: address} }

func (p peer) refuse() error {
	if p.address == "10.0.0.1:1" {
		return nil
	}
	return clementineturn.Refuse(clementineturn.KindUnavailable, "no connection")
}

func (p peer) Probe(context.Context) (*clemwire.Probed, error) {
	return &clemwire.Probed{Node: "entry-1", Role: "entry", Generation: 3, Incarnation: 9, Ready: true}, p.refuse()
}

func (p peer) Gather(context.Context) (*clemwire.Gathered, error) {
	return &clemwire.Gathered{Node: "entry-1", Counts: []*clemwire.Count{
		{Organisation: "acme", Pool: "cribs", Window: durationpb.New(5 * time.Minute), Total: 1000, Failed: 2, Slow: 10},
	}}, p.refuse()
}

// bench is an operators' listener and the last run's output.
type bench struct {
	url      string
	handler  http.Handler
	table    *clemstandin.Table
	ledger   *ledger
	out, err bytes.Buffer
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{table: clemstandin.NewTable(), ledger: &ledger{record: &clemwire.Record{
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
		Board: board, Log: clemconfig.NewLog(clemconfig.LogConfig{Table: b.table}), Ledger: b.ledger, Peers: peers{},
		Learn: board.Config().Set, Tokens: []clemops.Operator{clemsetting.NewOperator("ana", digest[:])},
	}).Mount(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	b.url, b.handler = server.URL, router
	return b
}

// run runs one command with the input and the token in the environment.
func (b *bench) run(t *testing.T, input string, args ...string) int {
	t.Helper()
	b.out.Reset()
	b.err.Reset()
	env := map[string]string{envToken: token, envAddress: b.url}
	return Run(t.Context(), Config{
		Args: args, In: strings.NewReader(input), Out: &b.out, Err: &b.err,
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

// seeded makes one entity of each kind.
func seeded(t *testing.T) *bench {
	t.Helper()
	b := newBench(t)
	for _, seed := range [][2]string{
		{"organisation", organisationJSON},
		{"pool", modelPoolJSON},
		{"pool", plainPoolJSON},
		{"service", serviceJSON},
		{"rule", ruleJSON},
		{"engine", `{"engine": {"name": "srv-1", "fencing": true}}`},
	} {
		require.Zero(t, b.run(t, seed[1], "create", seed[0], "--file", "-"), b.err.String())
	}
	require.Zero(t, b.run(t, "", "drain", "srv-9"), b.err.String())
	return b
}

// Tables and JSON stand in golden files.
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
			b := seeded(t)
			golden(t, name, b.run(t, "", args...), b)
		})
	}
}

func golden(t *testing.T, name string, code int, b *bench) {
	t.Helper()
	got := "exit " + string(rune('0'+code)) + "\n--- out\n" + b.out.String() + "--- err\n" + b.err.String()
	path := filepath.Join("testdata", name+".golden")
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// What show writes, update takes; a second update of the same reading is a conflict.
func TestShowEditUpdate(t *testing.T) {
	b := seeded(t)
	require.Zero(t, b.run(t, "", "show", "organisation", "acme"))
	edited := regexp.MustCompile(`"weight": *10`).ReplaceAllString(b.out.String(), `"weight": 20`)
	file := filepath.Join(t.TempDir(), "acme.json")
	require.NoError(t, os.WriteFile(file, []byte(edited), 0o600))
	require.Zero(t, b.run(t, "", "update", "organisation", "--file", file), b.err.String())
	require.Equal(t, "generation 8\n", b.out.String())
	require.Equal(t, clemcli.ExitConflict, b.run(t, "", "update", "organisation", "--file", file))
	require.Contains(t, b.err.String(), "conflict: ")
}

func TestRepeatWithID(t *testing.T) {
	b := newBench(t)
	for range 2 {
		require.Zero(t, b.run(t, organisationJSON, "create", "organisation", "--file=-", "--id", "once"), b.err.String())
		require.Equal(t, "generation 1\n", b.out.String())
	}
}

func TestKeyAdd(t *testing.T) {
	b := seeded(t)
	require.Zero(t, b.run(t, "", "key", "add", "acme", "web"), b.err.String())
	require.Regexp(t, `^generation 8\nkey ct-[A-Z2-7]{26}\n$`, b.out.String())
	require.Equal(t, clemcli.ExitFailed, b.run(t, "", "key", "add", "acme", "web"))
	require.Contains(t, b.err.String(), "exists: name: ")
}

func TestResolveWithAnswer(t *testing.T) {
	b := newBench(t)
	require.Zero(t, b.run(t, `{"paid":true}`, "claim", "resolve", "acme", "pay-1", "--ran", "--answer", "-", "--status", "201"), b.err.String())
	require.JSONEq(t, `{"paid":true}`, string(b.ledger.record.GetOutcome().GetBody()))
	require.EqualValues(t, 201, b.ledger.record.GetOutcome().GetStatus())
	require.Equal(t, "ana", b.ledger.record.GetAuthor())
}

func TestExitCodes(t *testing.T) {
	b := seeded(t)
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
			require.Equal(t, tc.code, b.run(t, "", tc.args...), b.err.String())
			require.Contains(t, b.err.String(), tc.text)
			require.Empty(t, b.out.String())
			require.NotContains(t, b.err.String(), token)
			require.NotContains(t, b.err.String(), "may have taken effect", "no such command changed anything")
		})
	}
	b.table.Inject(clemstandin.TableFaults{Down: true})
	require.Equal(t, clemcli.ExitUnreachable, b.run(t, "", "drain", "srv-1"))
	require.NotContains(t, b.err.String(), "may have taken effect", "the store refused before any write")
	b.table.Inject(clemstandin.TableFaults{LateWrites: 1, Late: time.Hour})
	require.Equal(t, clemcli.ExitUnreachable, b.run(t, "", "drain", "srv-1", "--id", "d1"))
	require.Contains(t, b.err.String(), "--id d1")
	require.Equal(t, clemcli.ExitUnreachable, b.run(t, "", "claim", "resolve", "acme", "k", "--ran", "--address", "http://127.0.0.1:1"))
	require.Contains(t, b.err.String(), "The request may have taken effect. Look at the claim")
}

func TestNoToken(t *testing.T) {
	var out bytes.Buffer
	code := Run(t.Context(), Config{Args: []string{"burn", "--address", "http://127.0.0.1:1"}, Err: &out})
	require.Equal(t, clemcli.ExitUsage, code)
	require.Contains(t, out.String(), "--token")
}

// The first configuration of the operators' page works as it stands.
func TestFirstConfigurationOfPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operating/run.md")
	require.NoError(t, err)
	commands := regexp.MustCompile(`(?s)clementine ctl create (\w+) --file - <<'END'\n(.*?)\nEND`).FindAllStringSubmatch(string(page), -1)
	require.Len(t, commands, 5)
	b := newBench(t)
	for _, command := range commands {
		require.Zero(t, b.run(t, command[2], "create", command[1], "--file", "-"), b.err.String())
	}
	require.Zero(t, b.run(t, "", "key", "add", "acme", "web"), b.err.String())
}
