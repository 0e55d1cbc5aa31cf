package clemctl

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/integrii/flaggy"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

// command is a command of the command line.
type command struct {
	// group is the word that precedes the name, or "".
	group     string
	name      string
	arguments []string
	flags     []func(s *session, sub *flaggy.Subcommand)
	doc       string
	run       func(ctx context.Context, s *session) error
}

// Names of the positional arguments.
const (
	argKind         = "KIND"
	argName         = "NAME"
	argOrganisation = "ORGANISATION"
	argKey          = "KEY"
	argServer       = "SERVER"
)

var argumentDocs = map[string]string{
	argKind:         "organisation, pool, engine, service, rule or drain.",
	argName:         "Name of the entity or key.",
	argOrganisation: "Name of the organisation.",
	argKey:          "Idempotency key of the call.",
	argServer:       "Name of the backend server's host.",
}

var commands = []command{
	{name: "create", arguments: []string{argKind}, flags: []func(*session, *flaggy.Subcommand){fileFlag, idFlag}, doc: "Add the entity of a JSON file.", run: create},
	{name: "update", arguments: []string{argKind}, flags: []func(*session, *flaggy.Subcommand){fileFlag, idFlag}, doc: "Replace an entity by that of a JSON file, which carries the generation that was read.", run: update},
	{name: "delete", arguments: []string{argKind, argName}, flags: []func(*session, *flaggy.Subcommand){idFlag}, doc: "Remove an entity that nothing refers to.", run: remove},
	{name: "list", arguments: []string{argKind}, doc: "List the entities of a kind.", run: list},
	{name: "show", arguments: []string{argKind, argName}, doc: "Write one entity as JSON, as update takes it.", run: show},
	{group: "key", name: "add", arguments: []string{argOrganisation, argName}, flags: []func(*session, *flaggy.Subcommand){idFlag}, doc: "Make an API key for an organisation and write its text, which cannot be read again.", run: addKey},
	{name: "drain", arguments: []string{argServer}, flags: []func(*session, *flaggy.Subcommand){idFlag}, doc: "Stop new work for a backend server.", run: drain},
	{name: "undrain", arguments: []string{argServer}, flags: []func(*session, *flaggy.Subcommand){idFlag}, doc: "Let a backend server take work again.", run: undrain},
	{name: "generations", doc: "Show the generation in force per process.", run: generations},
	{group: "claim", name: "show", arguments: []string{argOrganisation, argKey}, doc: "Show the state of an at-most-once call.", run: showClaim},
	{group: "claim", name: "resolve", arguments: []string{argOrganisation, argKey}, flags: []func(*session, *flaggy.Subcommand){resolveFlags}, doc: "Settle an at-most-once call whose outcome is unknown.", run: resolveClaim},
	{name: "burn", doc: "Show the service-level burn report.", run: burn},
}

// argumentKey identifies a positional argument of a command.
type argumentKey struct {
	command  *command
	argument string
}

// bindArgument remembers where flaggy stores the value of a positional argument.
func (c *command) bindArgument(s *session, argument string, value *string) {
	if s.argumentValues == nil {
		s.argumentValues = map[argumentKey]*string{}
	}
	s.argumentValues[argumentKey{c, argument}] = value
}

// collectArguments copies the positional arguments of the parsed command to
// s.arguments.
func (s *session) collectArguments(c *command) {
	for _, argument := range c.arguments {
		s.arguments[argument] = *s.argumentValues[argumentKey{c, argument}]
	}
}

func fileFlag(s *session, sub *flaggy.Subcommand) {
	sub.String(&s.file, "f", "file", "JSON file with the entity; - reads the standard input.")
}

func idFlag(s *session, sub *flaggy.Subcommand) {
	sub.String(&s.id, "i", "id", "Id of the request; a repeat with the same id is answered with the first result. Random if not given.")
}

func resolveFlags(s *session, sub *flaggy.Subcommand) {
	sub.Bool(&s.ran, "", "ran", "The call took effect; repeats get the answer, or are told that none is held.")
	sub.Bool(&s.void, "", "void", "The call did not take effect; a repeat may run it.")
	sub.String(&s.answer, "", "answer", "File with the answer's body for repeats; - reads the standard input.")
	sub.String(&s.mediaType, "", "media", "Media type of the answer.")
	sub.Int(&s.status, "", "status", "HTTP status of the answer.")
}

// entityKind returns the kind of entity that the command line names.
func (s *session) entityKind() (clemwire.EntityKind, error) {
	word := s.arguments[argKind]
	value, ok := clemwire.EntityKind_value["ENTITY_KIND_"+strings.ToUpper(word)]
	if !ok || value == 0 || word != strings.ToLower(word) {
		return 0, usageError{fmt.Sprintf("%s: found %q, allowed are %s", argKind, word, argumentDocs[argKind])}
	}
	return clemwire.EntityKind(value), nil
}

// send makes one call and writes its response. A call whose message has a request
// id changes something and may be repeated with the same id.
func send[Q, A any](ctx context.Context, s *session, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), message *Q, write func(*A)) error {
	if m, ok := any(message).(interface{ GetId() string }); ok {
		s.unknownOutcomeHint = "Repeat it with --id " + m.GetId() + " to be answered with its result."
	}
	response, err := call(ctx, request(s, message))
	if err != nil {
		return err
	}
	write(response.Msg)
	return nil
}

// entityFromFlags reads the entity of a create or update command.
func (s *session) entityFromFlags() (*clemwire.Entity, error) {
	kind, err := s.entityKind()
	if err != nil {
		return nil, err
	}
	if s.file == "" {
		return nil, usageError{"--file: found nothing, a JSON file is needed"}
	}
	return s.readEntity(kind)
}

func create(ctx context.Context, s *session) error {
	entity, err := s.entityFromFlags()
	if err != nil {
		return err
	}
	return send(ctx, s, s.client.Create, &clemwire.CreateRequest{Id: s.id, Entity: entity}, s.writeChange)
}

func update(ctx context.Context, s *session) error {
	entity, err := s.entityFromFlags()
	if err != nil {
		return err
	}
	return send(ctx, s, s.client.Update, &clemwire.UpdateRequest{Id: s.id, Entity: entity}, s.writeChange)
}

func remove(ctx context.Context, s *session) error {
	kind, err := s.entityKind()
	if err != nil {
		return err
	}
	return send(ctx, s, s.client.Delete, &clemwire.DeleteRequest{Id: s.id, Kind: kind, Name: s.arguments[argName]}, s.writeChange)
}

func (s *session) entities(ctx context.Context) (*clemwire.ListResponse, error) {
	kind, err := s.entityKind()
	if err != nil {
		return nil, err
	}
	response, err := s.client.List(ctx, request(s, &clemwire.ListRequest{Kind: kind}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func list(ctx context.Context, s *session) error {
	response, err := s.entities(ctx)
	if err != nil {
		return err
	}
	s.writeList(response)
	return nil
}

func show(ctx context.Context, s *session) error {
	response, err := s.entities(ctx)
	if err != nil {
		return err
	}
	name := s.arguments[argName]
	i := slices.IndexFunc(response.GetEntities(), func(e *clemwire.Entity) bool { return clemconfig.Name(e) == name })
	if i < 0 {
		return clementineturn.Refuse(clementineturn.KindNotFound, "no %s %q", s.arguments[argKind], name)
	}
	s.writeJSON(s.Out, response.GetEntities()[i])
	return nil
}

func addKey(ctx context.Context, s *session) error {
	message := &clemwire.AddKeyRequest{Id: s.id, Organisation: s.arguments[argOrganisation], Name: s.arguments[argName]}
	return send(ctx, s, s.client.AddKey, message, s.writeKey)
}

func drain(ctx context.Context, s *session) error {
	return send(ctx, s, s.client.DrainServer, &clemwire.DrainServerRequest{Id: s.id, Server: s.arguments[argServer]}, s.writeChange)
}

func undrain(ctx context.Context, s *session) error {
	return send(ctx, s, s.client.UndrainServer, &clemwire.DrainServerRequest{Id: s.id, Server: s.arguments[argServer]}, s.writeChange)
}

func generations(ctx context.Context, s *session) error {
	return send(ctx, s, s.client.Generations, &clemwire.GenerationsRequest{}, s.writeGenerations)
}

func showClaim(ctx context.Context, s *session) error {
	message := &clemwire.ShowClaimRequest{Organisation: s.arguments[argOrganisation], Key: s.arguments[argKey]}
	return send(ctx, s, s.client.ShowClaim, message, s.writeClaim)
}

func resolveClaim(ctx context.Context, s *session) error {
	message, err := s.resolution()
	if err != nil {
		return err
	}
	s.unknownOutcomeHint = "Look at the claim before you repeat it."
	return send(ctx, s, s.client.ResolveClaim, message, s.writeClaim)
}

// resolution returns the request of the claim resolve command.
func (s *session) resolution() (*clemwire.ResolveClaimRequest, error) {
	if s.ran == s.void {
		return nil, usageError{"one of --ran and --void is needed"}
	}
	if s.answer != "" && s.void {
		return nil, usageError{"--answer: allowed only with --ran"}
	}
	if s.status < http.StatusOK || s.status > 599 {
		return nil, usageError{fmt.Sprintf("--status: found %d, allowed is 200 to 599", s.status)}
	}
	message := &clemwire.ResolveClaimRequest{Organisation: s.arguments[argOrganisation], Key: s.arguments[argKey], Ran: s.ran}
	if s.answer == "" {
		return message, nil
	}
	body, err := s.readFile(s.answer)
	if err != nil {
		return nil, err
	}
	message.Outcome = &clemwire.Outcome{Status: uint32(s.status), Media: s.mediaType, Body: body}
	return message, nil
}

func burn(ctx context.Context, s *session) error {
	return send(ctx, s, s.client.Burn, &clemwire.BurnRequest{}, s.writeBurn)
}
