// Package clemcli parses command lines with flaggy without its side effects: it
// does not exit the process, and it writes help and errors to the given writers.
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

// parseMu guards flaggy.PanicInsteadOfExit.
var parseMu sync.Mutex

// Config describes a command line to parse.
type Config struct {
	Parser *flaggy.Parser
	Args   []string
	Out    io.Writer
	Err    io.Writer
}

// Parse parses the arguments. It returns true if the command should run.
// Otherwise it returns the exit code: ExitOK after it wrote the requested help to
// Out, or ExitUsage after it wrote an error and the help to Err.
func Parse(c Config) (code int, run bool) {
	var help *flaggy.Help
	var unknown string
	c.Parser.HelpTemplate = captureTemplate(&help)
	c.Parser.ShowCompletion = false
	c.Parser.ShowVersionWithVersionFlag = false
	// Flaggy panics on an empty argument.
	if i := slices.Index(c.Args, ""); i >= 0 {
		return Usage(c, "argument %d is empty", i+1), false
	}
	captureUnknownCommand(&c.Parser.Subcommand, &unknown)
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
	case unknown != "":
		return Usage(c, "unknown command %q", unknown), false
	}
	return ExitOK, true
}

// Usage writes the error and the help of the parsed subcommand to Err. It returns
// ExitUsage.
func Usage(c Config, format string, args ...any) int {
	fmt.Fprintf(c.Err, "%s: %s\n", c.Parser.Name, fmt.Sprintf(format, args...))
	var help flaggy.Help
	help.ExtractValues(c.Parser, "")
	render(c.Err, help)
	return ExitUsage
}

// captureUnknownCommand adds a hidden positional argument to each parser with
// subcommands, so that flaggy stores an unknown subcommand in it. Otherwise flaggy
// would write the error to the standard output and exit.
func captureUnknownCommand(sub *flaggy.Subcommand, unknown *string) {
	if len(sub.Subcommands) > 0 && len(sub.PositionalFlags) == 0 {
		value := &flaggy.PositionalValue{Name: "command", AssignmentVar: unknown, Position: 1, Hidden: true}
		sub.PositionalFlags = append(sub.PositionalFlags, value)
	}
	for _, child := range sub.Subcommands {
		captureUnknownCommand(child, unknown)
	}
}

// parse runs flaggy and reports whether it would have exited the process.
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

// captureTemplate returns a template that stores the values of the help in help
// and writes nothing.
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
