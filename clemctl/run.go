// Package clemctl is the operators' command line: one command for every call
// of the operators' interface.
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

// Environment variables that stand in for flags.
const (
	envToken   = "CLEMENTINE_TOKEN"
	envAddress = "CLEMENTINE_ADDRESS"
)

// Config describes one run.
type Config struct {
	// Args are the arguments after "clementine ctl".
	Args []string
	// In is read for "--file -"; empty if nil.
	In       io.Reader
	Out, Err io.Writer
	// Env returns an environment variable, as os.Getenv does; none if nil.
	Env func(name string) string
	// Client reaches the interface; made from the flags if nil.
	Client connect.HTTPClient
}

// session is one run after its command line was parsed.
type session struct {
	Config
	client    clemwire.OperatorsClient
	arguments map[string]string
	bound     map[bound]*string
	address   string
	token     string
	authority string
	id        string
	file      string
	answer    string
	media     string
	status    int
	json      bool
	ran       bool
	void      bool
	// doubt tells what to do if the outcome is not known; "" if the command
	// changes nothing.
	doubt string
}

// usageError is a fault of the command line.
type usageError struct{ message string }

// Error returns the message.
func (e usageError) Error() string { return e.message }

// Run runs one command and returns its exit code: 0 done, 1 failed, 2 wrong
// command line, 3 somebody else changed the same thing first, 4 the interface
// or the platform's store cannot be reached.
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
	return &session{Config: c, arguments: map[string]string{}, status: http.StatusOK, media: "application/json"}
}

// parser returns the parser of all commands and a function that finds the
// command that was parsed.
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
			c.bind(s, argument, value)
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
			s.collect(c)
		}
		return c
	}
}

// prepare checks what every command needs and makes the client.
func (s *session) prepare() error {
	address := cmp.Or(s.address, s.Env(envAddress))
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return usageError{fmt.Sprintf("--address: found %q, allowed is an http or https URL", address)}
	}
	if s.secret() == "" {
		return usageError{"--token: found nothing, an operator's token is needed"}
	}
	if strings.ContainsFunc(s.secret(), func(r rune) bool { return r <= ' ' || r > '~' }) {
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

// secret returns the operator's token. The environment's stays out of the
// flags, since help shows the values of flags.
func (s *session) secret() string { return cmp.Or(s.token, s.Env(envToken)) }

// request returns the message with the operator's token.
func request[T any](s *session, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+s.secret())
	return r
}

// report writes the error and returns the exit code.
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
		if !e.NotRun() && s.doubt != "" {
			fmt.Fprintf(s.Err, "The request may have taken effect. %s\n", s.doubt)
		}
		return clemcli.ExitUnreachable
	}
	return clemcli.ExitFailed
}

// read returns the content of the file, or of the input for "-".
func (s *session) read(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.In)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindNotFound, "%w", err)
	}
	return data, nil
}

// entity reads the entity of the kind from the file.
func (s *session) entity(kind clemwire.EntityKind) (*clemwire.Entity, error) {
	data, err := s.read(s.file)
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
