// Package clemcli parses command lines with flaggy in a way that callers can
// test: nothing exits the process and help goes to the writers given.
package clemcli

import (
	"fmt"
	"io"
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
	c.Parser.HelpTemplate = captureTemplate(&help)
	c.Parser.ShowCompletion = false
	c.Parser.ShowVersionWithVersionFlag = false
	exited, err := parse(c.Parser, c.Args)
	if err != nil {
		return usage(c, help, err.Error()), false
	}
	if !exited {
		return ExitOK, true
	}
	if help != nil && help.Message == "" {
		render(c.Out, *help)
		return ExitOK, false
	}
	return usage(c, help, "unknown subcommand or missing value"), false
}

// Usage writes the fault and the help of the subcommand that was parsed to
// Err, and returns ExitUsage.
func Usage(c Config, format string, args ...any) int {
	help := &flaggy.Help{}
	help.ExtractValues(c.Parser, "")
	return usage(c, help, fmt.Sprintf(format, args...))
}

func usage(c Config, help *flaggy.Help, message string) int {
	if help == nil {
		help = &flaggy.Help{}
		help.ExtractValues(c.Parser, "")
	}
	if help.Message == "" {
		help.Message = message
	}
	fault := strings.TrimSpace(help.Message)
	help.Message = ""
	fmt.Fprintf(c.Err, "%s: %s\n", c.Parser.Name, fault)
	render(c.Err, *help)
	return ExitUsage
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
