package clemfront

import (
	"bytes"
	"math/rand/v2"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemcli"
)

func runCommand(store clementineturn.Store, args ...string) (code int, out, failure string) {
	var stdout, stderr bytes.Buffer
	code = RunCommand(nil, CommandConfig{
		Args: args, Out: &stdout, Err: &stderr, NewStore: func(string) clementineturn.Store { return store },
		DefaultStore: func() (string, error) { return "", clementineturn.Invalid("settings", "there are none") },
	})
	return code, stdout.String(), stderr.String()
}

// Operators can list the quarantined parts and lift a quarantine, which all entries
// follow within a minute.
func TestOperatorLiftsAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 12)
		c.lethal.Store(lethalPart)
		l := &chatLoad{cluster: c, rng: rand.New(rand.NewPCG(1, 3)), lethalAt: 1, entries: 3}
		l.play(60, time.Second)
		l.lethalShare = 0.1
		l.play(60, 6*time.Second)
		l.sent.Wait()
		require.Equal(t, []uint64{lethalPart}, c.quarantined())
		code, out, _ := runCommand(c.store, "quarantines", "--store", "a:1")
		require.Equal(t, clemcli.ExitOK, code)
		require.Regexp(t, regexp.MustCompile(`^pool dead: \d+ crashes, since .*, last seen .*, in force\n$`), out)
		code, _, failure := runCommand(c.store, "lift", "pool", "dead", "--store", "a:1")
		require.Equal(t, clemcli.ExitOK, code, failure)
		c.lethal.Store(0) // The server software was repaired.
		time.Sleep(time.Minute)
		require.Empty(t, c.quarantined())
		require.True(t, c.send(entryName(0), firstPart, lethalPart, 1))
		_, out, _ = runCommand(c.store, "quarantines", "--store", "a:1")
		require.Contains(t, out, "lifted")
		c.stopAll()
	})
}

func TestWrongCommandsNameTheFault(t *testing.T) {
	for fault, args := range map[string][]string{
		"PART":                   {"lift", "pool", "xyz", "--store", "a:1"},
		"--store":                {"quarantines"},
		"a subcommand is needed": {"--store", "a:1"},
	} {
		code, _, failure := runCommand(newRowStore(), args...)
		require.Equal(t, clemcli.ExitUsage, code, fault)
		require.Contains(t, failure, fault)
	}
	code, _, failure := runCommand(newRowStore(), "lift", "pool", "dead", "--store", "a:1")
	require.Equal(t, clemcli.ExitFailed, code)
	require.Contains(t, failure, "not quarantined")
}
