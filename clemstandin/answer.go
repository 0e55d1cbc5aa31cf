package clemstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Finish reasons of a response.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// completion is a chat completion, or one chunk of its stream, in the format of
// the OpenAI API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// usage holds the token counts of a request.
type usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// chatResponse is the response to one chat completion request.
type chatResponse struct {
	id           string
	model        string
	created      time.Time
	words        []string
	finishReason string
	usage        usage
}

func (r *chatResponse) base(object string) completion {
	return completion{ID: r.id, Object: object, Created: r.created.Unix(), Model: r.model, Choices: []choice{}}
}

func (r *chatResponse) complete(text string) completion {
	c := r.base("chat.completion")
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &r.finishReason}}
	c.Usage = &r.usage
	return c
}

func (r *chatResponse) chunk(d delta, finish *string) completion {
	c := r.base("chat.completion.chunk")
	c.Choices = []choice{{Delta: &d, FinishReason: finish}}
	return c
}

func (r *chatResponse) usageChunk() completion {
	c := r.base("chat.completion.chunk")
	c.Usage = &r.usage
	return c
}

// eventStream writes server-sent events. Events of a resumable stream have their
// position, counted from 1, as id; the ones that the client already received are
// not sent again.
type eventStream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	resumable  bool
	// lastEventID is the id of the last event that the client received, and
	// eventID that of the current one.
	lastEventID int
	eventID     int
}

// newEventStream starts a stream. It is resumable if the request has a
// Last-Event-ID header; the value 0 requests the whole stream.
func newEventStream(w http.ResponseWriter, r *http.Request) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	return &eventStream{w: w, controller: http.NewResponseController(w), resumable: err == nil, lastEventID: last}
}

func (e *eventStream) send(c completion) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return e.sendData(string(data))
}

func (e *eventStream) sendData(data string) error {
	e.eventID++
	if e.isReceived() {
		return nil
	}
	if e.resumable {
		data += "\nid: " + strconv.Itoa(e.eventID)
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return e.controller.Flush()
}

// isReceived reports whether the client already received the current event.
func (e *eventStream) isReceived() bool { return e.eventID <= e.lastEventID }
