// Package clemctl implements the operators' command line, with one command for
// each procedure of the operators' interface that package clemops serves.
package clemctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/integrii/flaggy"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemcli"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemops"
	"github.com/clementineturn/clementineturn/clemwire"
)

// Environment variables that are used if the flags are not given.
const (
	envToken   = "CLEMENTINE_TOKEN"
	envAddress = "CLEMENTINE_ADDRESS"
)

// Config describes one run of the command line.
type Config struct {
	// Args are the arguments after "clementine ctl".
	Args []string
	// In is the standard input, which "-" as a file name stands for; empty if nil.
	In       io.Reader
	Out, Err io.Writer
	// Env returns the value of an environment variable, as os.Getenv does. If
	// it is nil, no variable is set.
	Env func(name string) string
	// Client is the HTTP client for the interface; created from the flags if nil.
	Client connect.HTTPClient
}

// session holds the state of one run.
type session struct {
	Config
	client         clemwire.OperatorsClient
	arguments      map[string]string
	argumentValues map[argumentKey]*string
	address        string
	token          string
	authority      string
	id             string
	file           string
	answer         string
	mediaType      string
	status         int
	json           bool
	ran            bool
	void           bool
	// unknownOutcomeHint is printed if the outcome of the call is unknown. It is
	// "" if the command changes nothing.
	unknownOutcomeHint string
}

// usageError is an error in the command line.
type usageError struct{ message string }

// Error returns the message.
func (e usageError) Error() string { return e.message }

// Run runs one command and returns its exit code: 0 if it succeeded, 1 if it
// failed, 2 for a wrong command line, 3 for a conflict with a concurrent change
// and 4 if the interface or the platform's store is unavailable.
func Run(ctx context.Context, c Config) int {
	s := newSession(c)
	parser, find := s.parser()
	cli := clemcli.Config{Parser: parser, Args: c.Args, Out: s.Out, Err: s.Err}
	if code, run := clemcli.Parse(cli); !run {
		return code
	}
	command := find()
	if command == nil {
		return clemcli.Usage(cli, "a command is needed")
	}
	err := s.prepare()
	if err == nil {
		err = command.run(ctx, s)
	}
	if usage, ok := err.(usageError); ok {
		return clemcli.Usage(cli, "%s", usage.message)
	}
	return s.report(err)
}

func newSession(c Config) *session {
	if c.In == nil {
		c.In = strings.NewReader("")
	}
	if c.Out == nil {
		c.Out = io.Discard
	}
	if c.Err == nil {
		c.Err = io.Discard
	}
	if c.Env == nil {
		c.Env = func(string) string { return "" }
	}
	return &session{Config: c, arguments: map[string]string{}, status: http.StatusOK, mediaType: "application/json"}
}

// parser returns a parser for all commands and a function that returns the parsed
// command, or nil if there is none.
func (s *session) parser() (*flaggy.Parser, func() *command) {
	parser := flaggy.NewParser("clementine ctl")
	parser.Description = "Drives the fleet through the operators' interface. Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict, 4 unreachable."
	parser.String(&s.address, "a", "address", "Base URL of an entry's operators' listener; $"+envAddress+" if not given.")
	parser.String(&s.token, "t", "token", "Operator's token; $"+envToken+" if not given, which keeps it out of process lists.")
	parser.String(&s.authority, "", "authority", "PEM file with the certificates that sign the listener's.")
	parser.Bool(&s.json, "j", "json", "Write JSON in place of a table.")
	groups := map[string]*flaggy.Subcommand{}
	parsed := map[*flaggy.Subcommand]*command{}
	for i := range commands {
		c := &commands[i]
		sub := flaggy.NewSubcommand(c.name)
		sub.Description = c.doc
		parsed[sub] = c
		for position, argument := range c.arguments {
			value := new(string)
			sub.AddPositionalValue(value, argument, position+1, true, argumentDocs[argument])
			c.bindArgument(s, argument, value)
		}
		for _, flag := range c.flags {
			flag(s, sub)
		}
		if c.group == "" {
			parser.AttachSubcommand(sub, 1)
			continue
		}
		if groups[c.group] == nil {
			groups[c.group] = flaggy.NewSubcommand(c.group)
			groups[c.group].Description = "Commands on a " + c.group + "."
			parser.AttachSubcommand(groups[c.group], 1)
		}
		groups[c.group].AttachSubcommand(sub, 1)
	}
	return parser, func() *command {
		c := parsed[parser.TrailingSubcommand()]
		if c != nil {
			s.collectArguments(c)
		}
		return c
	}
}

// prepare checks address and token and creates the client.
func (s *session) prepare() error {
	address := cmp.Or(s.address, s.Env(envAddress))
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return usageError{fmt.Sprintf("--address: found %q, allowed is an http or https URL", address)}
	}
	if s.operatorToken() == "" {
		return usageError{"--token: found nothing, an operator's token is needed"}
	}
	if strings.ContainsFunc(s.operatorToken(), func(r rune) bool { return r <= ' ' || r > '~' }) {
		return usageError{"--token: found a space or a character that is not printable ASCII"}
	}
	if s.id == "" {
		s.id = clemconfig.NewID()
	}
	if s.Client == nil {
		client, err := newClient(s.authority)
		if err != nil {
			return err
		}
		s.Client = client
	}
	s.client = clemwire.NewOperatorsClient(s.Client, strings.TrimSuffix(address, "/"))
	return nil
}

// operatorToken returns the token of the flag or the environment. The
// environment's is not stored as the flag's value, since the help would print it.
func (s *session) operatorToken() string { return cmp.Or(s.token, s.Env(envToken)) }

// request returns a request that carries the operator's token.
func request[T any](s *session, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+s.operatorToken())
	return r
}

// report writes the error, if any, and returns the exit code.
func (s *session) report(err error) int {
	if err == nil {
		return clemcli.ExitOK
	}
	e := clemops.FromError(err)
	if s.json {
		s.writeJSON(s.Err, e.Refusal())
	} else {
		fmt.Fprintf(s.Err, "clementine ctl: %v\n", e)
	}
	switch e.Kind() {
	case clementineturn.KindConflict:
		return clemcli.ExitConflict
	case clementineturn.KindUnknown, clementineturn.KindTimeout, clementineturn.KindUnavailable, clementineturn.KindUnready:
		if !e.NotRun() && s.unknownOutcomeHint != "" {
			fmt.Fprintf(s.Err, "The request may have taken effect. %s\n", s.unknownOutcomeHint)
		}
		return clemcli.ExitUnreachable
	}
	return clemcli.ExitFailed
}

// readFile returns the content of the file, or the standard input for "-".
func (s *session) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.In)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindNotFound, "%w", err)
	}
	return data, nil
}

// readEntity reads the entity from the file of the --file flag and checks its
// kind.
func (s *session) readEntity(kind clemwire.EntityKind) (*clemwire.Entity, error) {
	data, err := s.readFile(s.file)
	if err != nil {
		return nil, err
	}
	entity := &clemwire.Entity{}
	if err := unmarshal(data, entity); err != nil {
		return nil, clementineturn.Invalid("file", "%v", err)
	}
	found := clemconfig.KindName(entity)
	if want := clemconfig.KindName(clemconfig.NewEntity(kind, "")); found != want {
		return nil, clementineturn.Invalid("file", "found %q, an object with the key %q is needed", found, want)
	}
	return entity, nil
}
