package clemcli

import (
	"bytes"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/stretchr/testify/require"
)

func testParser() (*flaggy.Parser, *string) {
	value := new(string)
	parser := flaggy.NewParser("tool")
	parser.String(value, "v", "value", "A value.")
	sub := flaggy.NewSubcommand("run")
	sub.Description = "Run it."
	parser.AttachSubcommand(sub, 1)
	return parser, value
}

func TestParse(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		code int
		run  bool
		out  string
		err  string
	}{
		"run":             {args: []string{"run", "--value", "x"}, run: true},
		"nothing":         {run: true},
		"help":            {args: []string{"--help"}, out: "Run it."},
		"help of command": {args: []string{"run", "-h"}, out: "run - Run it."},
		"unknown command": {args: []string{"walk"}, code: ExitUsage, err: `tool: unknown command "walk"`},
		"unknown flag":    {args: []string{"run", "--fast"}, code: ExitUsage, err: "tool: Unknown arguments supplied: fast"},
		"extra word":      {args: []string{"run", "far"}, code: ExitUsage, err: "tool: Unexpected argument: far"},
		"missing value":   {args: []string{"run", "--value"}, code: ExitUsage, err: "tool: Expected a following arg"},
		"empty word":      {args: []string{"run", ""}, code: ExitUsage, err: "tool: argument 2 is empty"},
		"version":         {args: []string{"--version"}, code: ExitUsage, err: "tool: Unknown arguments supplied: version"},
		"completion":      {args: []string{"completion", "bash"}, code: ExitUsage, err: "tool: "},
	} {
		t.Run(name, func(t *testing.T) {
			parser, _ := testParser()
			var out, errs bytes.Buffer
			code, run := Parse(Config{Parser: parser, Args: tc.args, Out: &out, Err: &errs})
			require.Equal(t, tc.code, code)
			require.Equal(t, tc.run, run)
			require.Contains(t, out.String(), tc.out)
			require.Contains(t, errs.String(), tc.err)
			if tc.code == ExitOK {
				require.Empty(t, errs.String())
			}
			require.False(t, flaggy.PanicInsteadOfExit, "the global is restored")
		})
	}
}

func TestParseValue(t *testing.T) {
	parser, value := testParser()
	_, run := Parse(Config{Parser: parser, Args: []string{"run", "--value=x"}})
	require.True(t, run)
	require.Equal(t, "x", *value)
}
