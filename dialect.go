package clementineturn

import (
	"net/http"
	"time"
)

// PartConfig describes a Part to construct.
type PartConfig struct {
	// ID is the digest of the part, equal in all prompts that contain it.
	ID uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}

// Part is one part of a prompt. Backend servers cache prompts by part.
type Part struct{ config PartConfig }

// NewPart returns a Part for the configuration.
func NewPart(c PartConfig) Part { return Part{config: c} }

// ID returns the digest of the part, equal in all prompts that contain it.
func (p Part) ID() uint64 { return p.config.ID }

// Tokens returns the length of the part in tokens.
func (p Part) Tokens() int { return p.config.Tokens }

// ArrivalConfig describes an Arrival to construct.
type ArrivalConfig struct {
	// ID is the client's id of this attempt.
	ID string
	// Key is the API key, or "" if none was sent.
	Key string
	// Patience is the client's timeout, or 0 if it sent none.
	Patience time.Duration
	// Resume is the id of the last event that the client received of a stream,
	// or "" if it does not resume one.
	Resume string
	// Parts are the prompt's parts in order. The last one is specific to the
	// request or its session.
	Parts []Part
	// Input is the number of prompt tokens, or 0 if unknown.
	Input int
	// Output is the maximum number of tokens to generate, or 0 if unknown.
	Output int
}

// Arrival holds the values decoded from the headers of a client's request.
type Arrival struct{ config ArrivalConfig }

// NewArrival returns an Arrival for the configuration.
func NewArrival(c ArrivalConfig) Arrival { return Arrival{config: c} }

// ID returns the client's id of this attempt.
func (a Arrival) ID() string { return a.config.ID }

// Key returns the API key, or "" if none was sent.
func (a Arrival) Key() string { return a.config.Key }

// Patience returns the client's timeout, or 0 if it sent none.
func (a Arrival) Patience() time.Duration { return a.config.Patience }

// Resume returns the id of the last event that the client received of a
// stream, or "" if it does not resume one.
func (a Arrival) Resume() string { return a.config.Resume }

// Parts returns the prompt's parts in order. The last one is specific to the
// request or its session.
func (a Arrival) Parts() []Part { return a.config.Parts }

// Input returns the number of prompt tokens, or 0 if unknown.
func (a Arrival) Input() int { return a.config.Input }

// Output returns the maximum number of tokens to generate, or 0 if unknown.
func (a Arrival) Output() int { return a.config.Output }

// DispatchConfig describes a Dispatch to construct.
type DispatchConfig struct {
	// Server is the id of the backend server that is to run the request.
	Server string
	// Organisation is the organisation's name, or "" for a public route.
	Organisation string
	// Remaining is the time left until the client's deadline.
	Remaining time.Duration
	// Resume is the id of the last event that the client received of a stream,
	// or "" if it does not resume one.
	Resume string
	// Source is the address of a backend server that has more of the prompt
	// cached and from which the cached parts may be fetched, or "".
	Source string
	// Rank is the priority of the request, 0 the most urgent.
	Rank int
}

// Dispatch holds what the system adds to the headers of a request that it
// forwards to a backend server.
type Dispatch struct{ config DispatchConfig }

// NewDispatch returns a Dispatch for the configuration.
func NewDispatch(c DispatchConfig) Dispatch { return Dispatch{config: c} }

// Server returns the id of the backend server that is to run the request.
func (d Dispatch) Server() string { return d.config.Server }

// Organisation returns the organisation's name, or "" for a public route.
func (d Dispatch) Organisation() string { return d.config.Organisation }

// Rank returns the priority of the request, 0 the most urgent.
func (d Dispatch) Rank() int { return d.config.Rank }

// Remaining returns the time left until the client's deadline.
func (d Dispatch) Remaining() time.Duration { return d.config.Remaining }

// Resume returns the id of the last event that the client received of a
// stream, or "" if it does not resume one.
func (d Dispatch) Resume() string { return d.config.Resume }

// Source returns the address of a backend server that has more of the prompt
// cached and from which the cached parts may be fetched, or "".
func (d Dispatch) Source() string { return d.config.Source }

// LoadConfig describes a Load to construct.
type LoadConfig struct {
	// Running is the number of running requests.
	Running int
	// Waiting is the number of queued requests.
	Waiting int
	// Slots is the maximum number of concurrently running requests.
	Slots int
	// Slowness is the current time that work takes, as a multiple of the usual
	// time.
	Slowness float64
}

// Load is the load that a backend server reported with a response.
type Load struct{ config LoadConfig }

// NewLoad returns a Load for the configuration.
func NewLoad(c LoadConfig) Load { return Load{config: c} }

// Running returns the number of running requests.
func (l Load) Running() int { return l.config.Running }

// Waiting returns the number of queued requests.
func (l Load) Waiting() int { return l.config.Waiting }

// Slots returns the maximum number of concurrently running requests.
func (l Load) Slots() int { return l.config.Slots }

// Slowness returns the current time that work takes, as a multiple of the
// usual time.
func (l Load) Slowness() float64 { return l.config.Slowness }

// ReplyConfig describes a Reply to construct.
type ReplyConfig struct {
	// ID is the id of the request that the response belongs to.
	ID string
	// Signed is set if the response carries the backend server's stamp, which
	// no intermediary can create.
	Signed bool
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Misdirected is set if the request reached another server than intended.
	Misdirected bool
	// Load is the load reported with the response, or nil.
	Load *Load
}

// Reply holds the values decoded from the status and headers of a backend
// server's response.
type Reply struct{ config ReplyConfig }

// NewReply returns a Reply for the configuration.
func NewReply(c ReplyConfig) Reply { return Reply{config: c} }

// ID returns the id of the request that the response belongs to.
func (r Reply) ID() string { return r.config.ID }

// Signed reports whether the response carries the backend server's stamp, which
// no intermediary can create.
func (r Reply) Signed() bool { return r.config.Signed }

// NotRun reports whether the server states that it did not run the request.
func (r Reply) NotRun() bool { return r.config.NotRun }

// Misdirected reports whether the request reached another server than intended.
func (r Reply) Misdirected() bool { return r.config.Misdirected }

// Load returns the load reported with the response, or nil.
func (r Reply) Load() *Load { return r.config.Load }

// Dialect encodes and decodes the platform's HTTP headers. The platform package
// provides one; an embedder with other headers supplies its own.
type Dialect interface {
	// Arrival decodes the headers of a client's request. Errors: KindInvalid,
	// whose field is the header.
	Arrival(header http.Header) (Arrival, error)
	// Outgoing returns the headers of a request to a backend server: those of
	// the client without hop-by-hop headers and headers reserved to the system,
	// plus the ones that encode the dispatch. The argument is not changed.
	Outgoing(header http.Header, dispatch Dispatch) http.Header
	// Reply decodes the status and headers of a backend server's response.
	Reply(status int, header http.Header) Reply
	// Label sets the client's request id on a response that the system itself
	// creates, such as an error.
	Label(header http.Header, id string)
}
