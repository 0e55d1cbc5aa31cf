// Package clemmain implements the command line of the clementine binary, which
// runs entries and sidecars and contains the operators' tools.
package clemmain

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/clementineturn/clementineturn/clemcli"
	"github.com/clementineturn/clementineturn/clemctl"
	"github.com/clementineturn/clementineturn/clemexplain"
	"github.com/clementineturn/clementineturn/clemnode"
	"github.com/clementineturn/clementineturn/clemsetting"
)

const exitCodes = "Exit codes: 0 success, 1 failure, 2 wrong usage or settings."

// Config holds the arguments, streams and environment of the command line.
type Config struct {
	Args []string
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	Env  func(string) string
	// Stop delivers the signals that ask a process to shut down gracefully.
	Stop <-chan os.Signal
}

// command is a subcommand.
type command struct {
	name      string
	doc       string
	needsFile bool
	run       func(ctx context.Context, c Config, path string) int
}

var commands = []command{
	{clemsetting.RoleEntry, "Run an entry: callers' and operators' listeners.", true, runNode},
	{clemsetting.RoleSidecar, "Run the sidecar of a backend server.", true, runNode},
	{"check", "Check a settings file and report every fault.", true, runCheck},
	{"version", "Print the version.", false, runVersion},
}

// Run runs one command line and returns its exit code.
func Run(ctx context.Context, c Config) int {
	if len(c.Args) > 0 && c.Args[0] == "ctl" {
		return clemctl.Run(ctx, clemctl.Config{Args: c.Args[1:], In: c.In, Out: c.Out, Err: c.Err, Env: c.Env})
	}
	if len(c.Args) > 0 && c.Args[0] == "explain" {
		return runExplain(c)
	}
	parser := flaggy.NewParser("clementine")
	parser.Description = "A router fleet for returning chats on shared language-model servers."
	parser.AdditionalHelpAppend = exitCodes
	path, find := attach(parser)
	cli := clemcli.Config{Parser: parser, Args: c.Args, Out: c.Out, Err: c.Err}
	// For an unknown subcommand the parser would report its first argument.
	if name, ok := unknownCommand(c.Args); ok {
		return clemcli.Usage(cli, "unknown subcommand %q", name)
	}
	if code, run := clemcli.Parse(cli); !run {
		return code
	}
	used := find()
	if used == nil {
		return clemcli.Usage(cli, "a subcommand is needed: entry, sidecar, ctl, explain, check or version")
	}
	return used.run(ctx, c, *path)
}

// unknownCommand reports whether the first argument is in the place of a
// subcommand but is not a known one, and returns it.
func unknownCommand(args []string) (string, bool) {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return "", false
	}
	known := slices.ContainsFunc(commands, func(c command) bool { return c.name == args[0] })
	return args[0], !known
}

// attach adds the subcommands to the parser. It returns the variable for the
// path of the settings file and a function that returns the parsed subcommand, or
// nil if there is none.
func attach(parser *flaggy.Parser) (*string, func() *command) {
	path := new(string)
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		s := flaggy.NewSubcommand(c.name)
		s.Description = c.doc
		s.AdditionalHelpAppend = exitCodes
		if c.needsFile {
			s.AddPositionalValue(path, "SETTINGS", 1, true, "JSON file with the process's settings.")
		}
		parser.AttachSubcommand(s, 1)
		subcommands[i] = s
	}
	ctl := flaggy.NewSubcommand("ctl")
	ctl.Description = "Drive the fleet as an operator; see clementine ctl --help."
	parser.AttachSubcommand(ctl, 1)
	explain := flaggy.NewSubcommand("explain")
	explain.Description = "Print one request's life from log files: explain ID FILE..."
	parser.AttachSubcommand(explain, 1)
	return path, func() *command {
		for i, s := range subcommands {
			if s.Used {
				return &commands[i]
			}
		}
		return nil
	}
}

func runNode(ctx context.Context, c Config, path string) int {
	settings, err := clemsetting.Read(path)
	if err != nil {
		fmt.Fprintln(c.Err, err)
		return clemcli.ExitUsage
	}
	if role := c.Args[0]; settings.Role() != role {
		fmt.Fprintf(c.Err, "role: found %q in %s, the command is %q\n", settings.Role(), path, role)
		return clemcli.ExitUsage
	}
	if err := clemnode.Run(ctx, settings, c.Stop); err != nil {
		fmt.Fprintln(c.Err, err)
		return clemcli.ExitFailed
	}
	return clemcli.ExitOK
}

// runExplain prints a request's lines from the files, or from standard input
// if none is named.
func runExplain(c Config) int {
	if len(c.Args) < 2 || strings.HasPrefix(c.Args[1], "-") {
		fmt.Fprintln(c.Err, "usage: clementine explain ID [FILE...]")
		return clemcli.ExitUsage
	}
	logs := []io.Reader{c.In}
	if len(c.Args) > 2 {
		logs = nil
	}
	for _, path := range c.Args[2:] {
		file, err := os.Open(path)
		if err != nil {
			fmt.Fprintln(c.Err, err)
			return clemcli.ExitUsage
		}
		defer file.Close()
		logs = append(logs, file)
	}
	if err := clemexplain.Report(c.Out, c.Args[1], logs); err != nil {
		fmt.Fprintln(c.Err, err)
		return clemcli.ExitFailed
	}
	return clemcli.ExitOK
}

func runCheck(_ context.Context, c Config, path string) int {
	if _, err := clemsetting.Read(path); err != nil {
		fmt.Fprintln(c.Err, err)
		return clemcli.ExitUsage
	}
	fmt.Fprintf(c.Out, "%s: ok\n", path)
	return clemcli.ExitOK
}

func runVersion(_ context.Context, c Config, _ string) int {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintln(c.Out, "clementine", version)
	return clemcli.ExitOK
}
