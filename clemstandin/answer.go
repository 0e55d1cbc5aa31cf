package clemstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Finish reasons of an answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// completion is a whole answer or one chunk of a stream in the OpenAI form.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *tally   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Delta   *delta   `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// tally counts the tokens of a request.
type tally struct {
	Prompt     int     `json:"prompt_tokens"`
	Completion int     `json:"completion_tokens"`
	Total      int     `json:"total_tokens"`
	Details    details `json:"prompt_tokens_details"`
}

type details struct {
	Cached int `json:"cached_tokens"`
}

// answer is one answer on its way to the caller.
type answer struct {
	id     string
	model  string
	time   time.Time
	words  []string
	finish string
	tally  tally
}

func (a *answer) base(object string) completion {
	return completion{ID: a.id, Object: object, Created: a.time.Unix(), Model: a.model, Choices: []choice{}}
}

func (a *answer) whole(text string) completion {
	c := a.base("chat.completion")
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, Finish: &a.finish}}
	c.Usage = &a.tally
	return c
}

func (a *answer) chunk(d delta, finish *string) completion {
	c := a.base("chat.completion.chunk")
	c.Choices = []choice{{Delta: &d, Finish: finish}}
	return c
}

func (a *answer) usage() completion {
	c := a.base("chat.completion.chunk")
	c.Usage = &a.tally
	return c
}

// events writes server-sent events. Events of a resumable stream carry their
// number as id; those up to the last that the caller has are left out.
type events struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	resumable bool
	last      int
	number    int
}

// newEvents starts a stream. It is resumable if the request has a
// Last-Event-ID, which is 0 for a stream from its start.
func newEvents(w http.ResponseWriter, r *http.Request) *events {
	w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	return &events{w: w, control: http.NewResponseController(w), resumable: err == nil, last: last}
}

func (e *events) send(c completion) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return e.raw(string(data))
}

func (e *events) raw(data string) error {
	e.number++
	if e.held() {
		return nil
	}
	if e.resumable {
		data += "\nid: " + strconv.Itoa(e.number)
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return e.control.Flush()
}

// held reports whether the caller has the current event.
func (e *events) held() bool { return e.number <= e.last }
