package clementineturn

import (
	"net/http"
	"time"
)

// PromptPartConfig describes a PromptPart to construct.
type PromptPartConfig struct {
	// ID is the digest of the part, equal in all prompts that contain it.
	ID uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}

// PromptPart is one part of a prompt. Backend servers cache prompts by part.
type PromptPart struct{ config PromptPartConfig }

// MaxTokens is the largest number of tokens of a prompt, a part or an output. It is above
// the context of any model, and low enough that times of many such parts do not overflow.
const MaxTokens = 1 << 24

// boundTokens returns the number of tokens that counts: 0 for a negative one, and MaxTokens
// for a larger one.
func boundTokens(tokens int) int { return min(max(tokens, 0), MaxTokens) }

// NewPromptPart returns a PromptPart for the configuration, with at most MaxTokens tokens.
func NewPromptPart(c PromptPartConfig) PromptPart {
	c.Tokens = boundTokens(c.Tokens)
	return PromptPart{config: c}
}

// ID returns the digest of the part, equal in all prompts that contain it.
func (p PromptPart) ID() uint64 { return p.config.ID }

// Tokens returns the length of the part in tokens.
func (p PromptPart) Tokens() int { return p.config.Tokens }

// RequestInfoConfig describes a RequestInfo to construct.
type RequestInfoConfig struct {
	// RequestID is the client's id of this attempt.
	RequestID string
	// APIKey is the API key, or "" if none was sent.
	APIKey string
	// Timeout is the client's timeout, or 0 if it sent none.
	Timeout time.Duration
	// LastEventID is the id of the last event that the client received of a
	// stream, or "" if it does not resume one.
	LastEventID string
	// ResumedID is the id of the client's attempt that brought the first event of the
	// stream that this one resumes, or "".
	ResumedID string
	// Parts are the prompt's parts in order. The last one is specific to the
	// request or its session.
	Parts []PromptPart
	// PromptTokens is the number of prompt tokens, or 0 if unknown.
	PromptTokens int
	// MaxOutputTokens is the maximum number of tokens to generate, or 0 if
	// unknown.
	MaxOutputTokens int
}

// RequestInfo holds the values decoded from the headers of a client's request.
type RequestInfo struct{ config RequestInfoConfig }

// NewRequestInfo returns a RequestInfo for the configuration, with at most MaxTokens tokens of
// the prompt and of the output.
func NewRequestInfo(c RequestInfoConfig) RequestInfo {
	c.PromptTokens, c.MaxOutputTokens = boundTokens(c.PromptTokens), boundTokens(c.MaxOutputTokens)
	return RequestInfo{config: c}
}

// RequestID returns the client's id of this attempt.
func (r RequestInfo) RequestID() string { return r.config.RequestID }

// APIKey returns the API key, or "" if none was sent.
func (r RequestInfo) APIKey() string { return r.config.APIKey }

// Timeout returns the client's timeout, or 0 if it sent none.
func (r RequestInfo) Timeout() time.Duration { return r.config.Timeout }

// LastEventID returns the id of the last event that the client received of a
// stream, or "" if it does not resume one.
func (r RequestInfo) LastEventID() string { return r.config.LastEventID }

// ResumedID returns the id of the client's attempt that brought the first event of the stream
// that this one resumes, or "".
func (r RequestInfo) ResumedID() string { return r.config.ResumedID }

// Parts returns the prompt's parts in order. The last one is specific to the
// request or its session.
func (r RequestInfo) Parts() []PromptPart { return r.config.Parts }

// PromptTokens returns the number of prompt tokens, or 0 if unknown.
func (r RequestInfo) PromptTokens() int { return r.config.PromptTokens }

// MaxOutputTokens returns the maximum number of tokens to generate, or 0 if
// unknown.
func (r RequestInfo) MaxOutputTokens() int { return r.config.MaxOutputTokens }

// DispatchConfig describes a Dispatch to construct.
type DispatchConfig struct {
	// Server is the id of the backend server that is to run the request.
	Server string
	// Organisation is the organisation's name, or "" for a public route.
	Organisation string
	// Timeout is the time left until the client's deadline.
	Timeout time.Duration
	// LastEventID is the id of the last event that the client received of a
	// stream, or "" if it does not resume one.
	LastEventID string
	// CacheSource is the address of a backend server that has more of the
	// prompt cached and from which the cached parts may be fetched, or "".
	CacheSource string
	// Priority is the priority of the request, 0 the most urgent.
	Priority int
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

// Priority returns the priority of the request, 0 the most urgent.
func (d Dispatch) Priority() int { return d.config.Priority }

// Timeout returns the time left until the client's deadline.
func (d Dispatch) Timeout() time.Duration { return d.config.Timeout }

// LastEventID returns the id of the last event that the client received of a
// stream, or "" if it does not resume one.
func (d Dispatch) LastEventID() string { return d.config.LastEventID }

// CacheSource returns the address of a backend server that has more of the
// prompt cached and from which the cached parts may be fetched, or "".
func (d Dispatch) CacheSource() string { return d.config.CacheSource }

// LoadConfig describes a Load to construct.
type LoadConfig struct {
	// Running is the number of running requests.
	Running int
	// Waiting is the number of queued requests.
	Waiting int
	// Slots is the maximum number of concurrently running requests.
	Slots int
	// SlowdownFactor is the time that work takes at present, as a multiple of the
	// usual time: 1 is as usual.
	SlowdownFactor float64
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

// SlowdownFactor returns the time that work takes at present, as a multiple of
// the usual time: 1 is as usual.
func (l Load) SlowdownFactor() float64 { return l.config.SlowdownFactor }

// ResponseInfoConfig describes a ResponseInfo to construct.
type ResponseInfoConfig struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed is set if the response carries the backend server's signature.
	Signed bool
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Misdirected is set if the request reached another server than intended.
	Misdirected bool
	// Load is the load reported with the response, or nil.
	Load *Load
	// RateLimit is the number of requests a second that the server takes from all
	// entries together, or nil if it states none.
	RateLimit *float64
	// RateLimitError is set if the server states a limit that cannot be read.
	RateLimitError error
	// Leaving is set if the server announces that it takes no new requests any more.
	Leaving bool
	// LeavingError is set if it announces something else in place of that.
	LeavingError error
	// Rest is the time for which the server asks for no new requests, or 0.
	Rest time.Duration
	// RestError is set if the server states such a time that cannot be used.
	RestError error
	// Cold is for how much longer the server is cold, that is tolerates few requests a
	// second, or nil if it does not state it.
	Cold *time.Duration
	// ColdError is set if the server states a time that cannot be used.
	ColdError error
}

// ResponseInfo holds the values decoded from the status and headers of a
// backend server's response.
type ResponseInfo struct{ config ResponseInfoConfig }

// NewResponseInfo returns a ResponseInfo for the configuration.
func NewResponseInfo(c ResponseInfoConfig) ResponseInfo { return ResponseInfo{config: c} }

// RequestID returns the id of the request that the response belongs to.
func (r ResponseInfo) RequestID() string { return r.config.RequestID }

// Signed reports whether the response carries the backend server's signature.
func (r ResponseInfo) Signed() bool { return r.config.Signed }

// NotRun reports whether the server states that it did not run the request.
func (r ResponseInfo) NotRun() bool { return r.config.NotRun }

// Misdirected reports whether the request reached another server than intended.
func (r ResponseInfo) Misdirected() bool { return r.config.Misdirected }

// Load returns the load reported with the response, or nil.
func (r ResponseInfo) Load() *Load { return r.config.Load }

// RateLimit returns the number of requests a second that the server takes from all
// entries together, or nil if it states none. Errors: KindInvalid, whose field is the
// header.
func (r ResponseInfo) RateLimit() (*float64, error) {
	return r.config.RateLimit, r.config.RateLimitError
}

// Leaving reports whether the server announces that it takes no new requests any more.
// Errors: KindInvalid, whose field is the header; the announcement has no effect.
func (r ResponseInfo) Leaving() (bool, error) { return r.config.Leaving, r.config.LeavingError }

// Rest returns the time for which the server asks for no new requests, or 0. Errors:
// KindInvalid, whose field is the header; the statement has no effect.
func (r ResponseInfo) Rest() (time.Duration, error) { return r.config.Rest, r.config.RestError }

// Cold returns for how much longer the server is cold, or nil if it does not state it.
// Errors: KindInvalid, whose field is the header.
func (r ResponseInfo) Cold() (*time.Duration, error) { return r.config.Cold, r.config.ColdError }

// Dialect encodes and decodes the platform's HTTP headers. The platform package
// provides one; an embedder with other headers supplies its own.
type Dialect interface {
	// DecodeRequest decodes the headers of a client's request. Errors:
	// KindInvalid, whose field is the header.
	DecodeRequest(header http.Header) (RequestInfo, error)
	// EncodeRequest returns the headers of a request to a backend server: those
	// of the client without hop-by-hop headers and headers reserved to the
	// system, plus the ones that encode the dispatch. The argument is not
	// changed.
	EncodeRequest(header http.Header, dispatch Dispatch) http.Header
	// DecodeResponse decodes the status and headers of a backend server's
	// response.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// SetRequestID sets the client's request id on a response that the system
	// itself creates, such as an error.
	SetRequestID(header http.Header, id string)
}
