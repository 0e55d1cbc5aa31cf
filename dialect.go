package clementineturn

import (
	"net/http"
	"time"
)

// PartConfig describes a Part to construct.
type PartConfig struct {
	// the digest that prompts with the same part share
	ID uint64
	// the part's length in tokens
	Tokens int
}

// Part is one part of a prompt.
type Part struct{ config PartConfig }

// NewPart returns what the configuration describes.
func NewPart(c PartConfig) Part { return Part{config: c} }

// ID returns the digest that prompts with the same part share.
func (p Part) ID() uint64 { return p.config.ID }

// Tokens returns the part's length in tokens.
func (p Part) Tokens() int { return p.config.Tokens }

// ArrivalConfig describes an Arrival to construct.
type ArrivalConfig struct {
	// the client's id of this attempt
	ID string
	// the API key, or ""
	Key string
	// how long the client will wait, or 0 if it did not say
	Patience time.Duration
	// the id of the last event that the client has of a stream, or ""
	Resume string
	// the prompt's parts in order; the last one belongs to the request or its session
	Parts []Part
	// the number of prompt tokens, or 0
	Input int
	// the most tokens that may be generated, or 0
	Output int
}

// Arrival is what the headers of a client's request say.
type Arrival struct{ config ArrivalConfig }

// NewArrival returns what the configuration describes.
func NewArrival(c ArrivalConfig) Arrival { return Arrival{config: c} }

// ID returns the client's id of this attempt.
func (a Arrival) ID() string { return a.config.ID }

// Key returns the API key, or "".
func (a Arrival) Key() string { return a.config.Key }

// Patience returns how long the client will wait, or 0 if it did not say.
func (a Arrival) Patience() time.Duration { return a.config.Patience }

// Resume returns the id of the last event that the client has of a stream, or "".
func (a Arrival) Resume() string { return a.config.Resume }

// Parts returns the prompt's parts in order; the last one belongs to the request or its session.
func (a Arrival) Parts() []Part { return a.config.Parts }

// Input returns the number of prompt tokens, or 0.
func (a Arrival) Input() int { return a.config.Input }

// Output returns the most tokens that may be generated, or 0.
func (a Arrival) Output() int { return a.config.Output }

// DispatchConfig describes a Dispatch to construct.
type DispatchConfig struct {
	// the id of the backend server that is meant
	Server string
	// the organisation's name, or "" for a public route
	Organisation string
	// how long the client will still wait
	Remaining time.Duration
	// the id of the last event to resume after, or ""
	Resume string
	// the address of a backend server that keeps more of the prompt, or ""
	Source string
	// the rank of the request, 0 the most urgent
	Rank int
}

// Dispatch is what the system tells a backend server with a request.
type Dispatch struct{ config DispatchConfig }

// NewDispatch returns what the configuration describes.
func NewDispatch(c DispatchConfig) Dispatch { return Dispatch{config: c} }

// Server returns the id of the backend server that is meant.
func (d Dispatch) Server() string { return d.config.Server }

// Organisation returns the organisation's name, or "" for a public route.
func (d Dispatch) Organisation() string { return d.config.Organisation }

// Rank returns the rank of the request, 0 the most urgent.
func (d Dispatch) Rank() int { return d.config.Rank }

// Remaining returns how long the client will still wait.
func (d Dispatch) Remaining() time.Duration { return d.config.Remaining }

// Resume returns the id of the last event to resume after, or "".
func (d Dispatch) Resume() string { return d.config.Resume }

// Source returns the address of a backend server that keeps more of the prompt, or "".
func (d Dispatch) Source() string { return d.config.Source }

// LoadConfig describes a Load to construct.
type LoadConfig struct {
	// the number of requests that run
	Running int
	// the number of requests that wait
	Waiting int
	// the number of requests that may run at once
	Slots int
	// how long work takes at the moment, 1 as usual
	Slowness float64
}

// Load is the load that a backend server told with an answer.
type Load struct{ config LoadConfig }

// NewLoad returns what the configuration describes.
func NewLoad(c LoadConfig) Load { return Load{config: c} }

// Running returns the number of requests that run.
func (l Load) Running() int { return l.config.Running }

// Waiting returns the number of requests that wait.
func (l Load) Waiting() int { return l.config.Waiting }

// Slots returns the number of requests that may run at once.
func (l Load) Slots() int { return l.config.Slots }

// Slowness returns how long work takes at the moment, 1 as usual.
func (l Load) Slowness() float64 { return l.config.Slowness }

// ReplyConfig describes a Reply to construct.
type ReplyConfig struct {
	// the id of the request that is answered
	ID string
	// reports whether the answer carries the backend server's signature
	Signed bool
	// reports whether the server says that it did not run the request
	NotRun bool
	// reports whether another server than the one that was meant answered
	Misdirected bool
	// the load that came with the answer, or nil
	Load *Load
}

// Reply is what the headers of a backend server's answer say.
type Reply struct{ config ReplyConfig }

// NewReply returns what the configuration describes.
func NewReply(c ReplyConfig) Reply { return Reply{config: c} }

// ID returns the id of the request that is answered.
func (r Reply) ID() string { return r.config.ID }

// Signed reports whether the answer carries the backend server's signature.
func (r Reply) Signed() bool { return r.config.Signed }

// NotRun reports whether the server says that it did not run the request.
func (r Reply) NotRun() bool { return r.config.NotRun }

// Misdirected reports whether another server than the one that was meant answered.
func (r Reply) Misdirected() bool { return r.config.Misdirected }

// Load returns the load that came with the answer, or nil.
func (r Reply) Load() *Load { return r.config.Load }

// Dialect translates between the headers on the wire and what they say.
type Dialect interface {
	// Arrival decodes a client's headers. Errors: KindInvalid, which names the header.
	Arrival(header http.Header) (Arrival, error)
	// Outgoing returns the headers for a backend server: the client's without
	// those that belong to one connection or to the system, and the system's own.
	Outgoing(header http.Header, dispatch Dispatch) http.Header
	// Reply decodes a backend server's headers.
	Reply(status int, header http.Header) Reply
	// Label puts the client's id on an answer of the system's own.
	Label(header http.Header, id string)
}
