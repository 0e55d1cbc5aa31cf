// Package clemcli parses command lines with flaggy in a way that callers can
// test: nothing exits the process and help goes to the writers given.
package clemcli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/template"

	"github.com/integrii/flaggy"
)

// Exit codes of all commands.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnreachable = 4
)

// parseMu guards flaggy's global switch between exit and panic.
var parseMu sync.Mutex

// Config describes one parse.
type Config struct {
	Parser *flaggy.Parser
	Args   []string
	Out    io.Writer
	Err    io.Writer
}

// Parse parses the arguments. It returns true if the command should run, else
// the exit code: 0 after help was asked for, 2 for a wrong command line, whose
// fault is written to Err with the help.
func Parse(c Config) (code int, run bool) {
	var help *flaggy.Help
	var stray string
	c.Parser.HelpTemplate = captureTemplate(&help)
	c.Parser.ShowCompletion = false
	c.Parser.ShowVersionWithVersionFlag = false
	// Flaggy panics on an empty argument.
	if i := slices.Index(c.Args, ""); i >= 0 {
		return Usage(c, "argument %d is empty", i+1), false
	}
	catchStray(&c.Parser.Subcommand, &stray)
	exited, err := parse(c.Parser, c.Args)
	switch {
	case err != nil:
		return Usage(c, "%v", err), false
	case exited && help != nil && help.Message == "":
		render(c.Out, *help)
		return ExitOK, false
	case exited && help != nil:
		return Usage(c, "%s", strings.Join(strings.Fields(help.Message), " ")), false
	case exited:
		return Usage(c, "wrong arguments"), false
	case stray != "":
		return Usage(c, "unknown command %q", stray), false
	}
	return ExitOK, true
}

// Usage writes the fault and the help of the subcommand that was parsed to
// Err, and returns ExitUsage.
func Usage(c Config, format string, args ...any) int {
	fmt.Fprintf(c.Err, "%s: %s\n", c.Parser.Name, fmt.Sprintf(format, args...))
	var help flaggy.Help
	help.ExtractValues(c.Parser, "")
	render(c.Err, help)
	return ExitUsage
}

// catchStray gives each parser with subcommands a hidden positional value, so
// that an unknown word ends up in stray. Flaggy would write the fault to the
// standard output and exit.
func catchStray(sub *flaggy.Subcommand, stray *string) {
	if len(sub.Subcommands) > 0 && len(sub.PositionalFlags) == 0 {
		value := &flaggy.PositionalValue{Name: "command", AssignmentVar: stray, Position: 1, Hidden: true}
		sub.PositionalFlags = append(sub.PositionalFlags, value)
	}
	for _, child := range sub.Subcommands {
		catchStray(child, stray)
	}
}

// parse runs flaggy and reports whether it wanted to exit.
func parse(parser *flaggy.Parser, args []string) (exited bool, err error) {
	parseMu.Lock()
	defer parseMu.Unlock()
	before := flaggy.PanicInsteadOfExit
	flaggy.PanicInsteadOfExit = true
	defer func() {
		flaggy.PanicInsteadOfExit = before
		value := recover()
		if text, ok := value.(string); ok && strings.HasPrefix(text, "Panic instead of exit") {
			exited = true
		} else if value != nil {
			panic(value)
		}
	}()
	return false, parser.ParseArgs(args)
}

// captureTemplate returns a template that keeps the help it should write.
func captureTemplate(help **flaggy.Help) *template.Template {
	capture := func(h flaggy.Help) string {
		*help = &h
		return ""
	}
	return template.Must(template.New("capture").Funcs(template.FuncMap{"capture": capture}).Parse("{{capture .}}"))
}

func render(w io.Writer, help flaggy.Help) {
	t := template.Must(template.New("help").Parse(flaggy.DefaultHelpTemplate))
	if err := t.Execute(w, help); err != nil {
		fmt.Fprintln(w, err)
	}
}
