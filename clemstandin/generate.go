package clemstandin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// vocabulary feeds the answers.
var vocabulary = strings.Fields(`the of and a to in is that for it as with on be at by this from or an
	are not have but all can which one will there more when out up so time no into only them some
	then two may like over such new first any other these way could than been who its now find long`)

// chat answers a chat completion request.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxChat)
	if err != nil {
		writeAPIError(w, refused(err))
		return
	}
	request, fault := decodeChat(body)
	if fault == nil {
		fault = e.accept(request)
	}
	if fault != nil {
		writeAPIError(w, fault)
		return
	}
	// Without a number the header is as good as absent.
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	e.run(w, r, request, priority)
}

// accept refuses requests for another model and those that a fault refuses.
func (e *Engine) accept(request *chatRequest) *apiError {
	if request.Model != e.config.Model && !e.orders.hasAdapter(request.Model) {
		fault := invalid("model", "the model "+strconv.Quote(request.Model)+" does not exist").withCode("model_not_found")
		fault.status = http.StatusNotFound
		return fault
	}
	if e.take(func(f *EngineFaults) *int { return &f.Refuse }) {
		return unavailable("the engine refuses the request")
	}
	return nil
}

// run waits for a slot and generates the answer. It stops when the caller goes away.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, request *chatRequest, priority int) {
	prompt := request.tokens()
	if err := e.batch.enter(r.Context(), priority, len(prompt)); err != nil {
		abort()
	}
	held := len(prompt)
	defer func() { e.batch.leave(held) }()
	cached := e.cache.match(prompt)
	a := e.compose(request, prompt, cached)
	if e.prefill(r.Context(), len(prompt)-cached) != nil {
		abort()
	}
	e.cache.store(prompt)
	out := e.output(w, r, request, a)
	for i := range a.words {
		if !out.isHeld(i) && e.step(r.Context()) != nil {
			abort()
		}
		if out.word(i) != nil {
			abort()
		}
		e.batch.grow(1)
		held++
	}
	e.cache.store(append(append(prompt, "<assistant>"), a.words...))
	out.end()
}

// compose returns the answer to the messages. Its text depends on nothing
// else but the engine's name, so that a repeat can be compared.
func (e *Engine) compose(request *chatRequest, prompt []string, cached int) *answer {
	digest := xxhash.Sum64String(strings.Join(prompt, "\x00"))
	mean := uint64(e.config.Output)
	words := []string{e.config.Name + ":"}
	for range mean/2 + digest%mean {
		digest = digest*6364136223846793005 + 1442695040888963407
		words = append(words, vocabulary[(digest>>33)%uint64(len(vocabulary))])
	}
	finish := finishStop
	if limit := request.limit(); limit != nil && *limit < len(words) {
		words, finish = words[:*limit], finishLength
	}
	now := time.Now()
	return &answer{
		id: "chatcmpl-" + strconv.FormatUint(digest, 36), model: request.Model, time: now, words: words, finish: finish,
		tally: tally{Prompt: len(prompt), Completion: len(words), Total: len(prompt) + len(words), Details: details{Cached: cached}},
	}
}

// prefill takes the time of the prompt's uncached tokens.
func (e *Engine) prefill(ctx context.Context, tokens int) error {
	steps := float64(tokens) / float64(e.config.Prefill)
	return sleep(ctx, time.Duration(steps*float64(e.stepTime())))
}

// step takes the time of one decoding step.
func (e *Engine) step(ctx context.Context) error { return sleep(ctx, e.stepTime()) }

func (e *Engine) stepTime() time.Duration {
	factor := 1 + e.config.Batch*float64(e.batch.running()-1)
	if slow := e.currentFaults().Slow; slow > 0 {
		factor *= slow
	}
	return time.Duration(factor * float64(e.config.Step))
}

// output passes the words of an answer to the caller.
type output struct {
	w       http.ResponseWriter
	answer  *answer
	events  *events
	options streamOptions
	// cut is the number of words after which the connection breaks, or 0.
	cut int
	// short leaves out the end marker.
	short bool
}

func (e *Engine) output(w http.ResponseWriter, r *http.Request, request *chatRequest, a *answer) *output {
	o := &output{w: w, answer: a, options: request.StreamOptions}
	if e.take(func(f *EngineFaults) *int { return &f.Cut }) {
		o.cut = max(1, len(a.words)/2)
	}
	if !request.Stream {
		return o
	}
	o.short = e.take(func(f *EngineFaults) *int { return &f.Short })
	o.events = newEvents(w, r)
	empty := ""
	_ = o.events.send(a.chunk(delta{Role: "assistant", Content: &empty}, nil))
	return o
}

// isHeld reports whether the caller has the word already: the event of the
// role comes first, so that word i is event i+2.
func (o *output) isHeld(i int) bool { return o.events != nil && i+2 <= o.events.last }

// word passes on one word.
func (o *output) word(i int) error {
	if o.cut > 0 && i >= o.cut {
		return http.ErrAbortHandler
	}
	if o.events == nil {
		return nil
	}
	text := o.answer.words[i]
	if i > 0 {
		text = " " + text
	}
	return o.events.send(o.answer.chunk(delta{Content: &text}, nil))
}

// end completes the answer. An error of the connection ends the handler anyway.
func (o *output) end() {
	if o.events == nil {
		writeJSON(o.w, http.StatusOK, o.answer.whole(strings.Join(o.answer.words, " ")))
		return
	}
	if o.short {
		return
	}
	_ = o.events.send(o.answer.chunk(delta{}, &o.answer.finish))
	if o.options.IncludeUsage {
		_ = o.events.send(o.answer.usage())
	}
	_ = o.events.raw("[DONE]")
}
