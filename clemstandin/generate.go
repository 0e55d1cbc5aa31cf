package clemstandin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words that responses are made of.
var vocabulary = strings.Fields(`the of and a to in is that for it as with on be at by this from or an
	are not have but all can which one will there more when out up so time no into only them some
	then two may like over such new first any other these way could than been who its now find long`)

// chat serves a chat completion request.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxChatBytes)
	if err != nil {
		writeAPIError(w, asAPIError(err))
		return
	}
	request, apiErr := decodeChat(body)
	if apiErr == nil {
		apiErr = e.checkRequest(request)
	}
	if apiErr != nil {
		writeAPIError(w, apiErr)
		return
	}
	// An invalid priority counts as 0, like an absent one.
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	e.generate(w, r, request, priority)
}

// checkRequest refuses requests for an unknown model, and the next ones if
// refusals are injected.
func (e *Engine) checkRequest(request *chatRequest) *apiError {
	if request.Model != e.config.Model && !e.loadOrders.hasAdapter(request.Model) {
		apiErr := newInvalidRequestError("model", "the model "+strconv.Quote(request.Model)+" does not exist").withCode("model_not_found")
		apiErr.status = http.StatusNotFound
		return apiErr
	}
	if e.consumeFault(func(f *EngineFaults) *int { return &f.Refusals }) {
		return newUnavailableError("the engine refuses the request")
	}
	return nil
}

// generate waits for a slot and generates the response. It stops when the client
// disconnects.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, request *chatRequest, priority int) {
	prompt := request.promptTokens()
	if err := e.batch.acquire(r.Context(), priority, len(prompt)); err != nil {
		abort()
	}
	tokens := len(prompt)
	defer func() { e.batch.release(tokens) }()
	cached := e.cache.cachedTokens(prompt)
	response := e.compose(request, prompt, cached)
	if e.prefill(r.Context(), len(prompt)-cached) != nil {
		abort()
	}
	e.cache.store(prompt)
	out := e.newResponseWriter(w, r, request, response)
	for i := range response.words {
		if !out.isReceived(i) && e.decodeStep(r.Context()) != nil {
			abort()
		}
		if out.writeWord(i) != nil {
			abort()
		}
		e.batch.addTokens(1)
		tokens++
	}
	e.cache.store(append(append(prompt, "<assistant>"), response.words...))
	out.finish()
}

// compose returns the response to a prompt. Its text depends only on the prompt,
// the token limit and the engine's name and mean output, so that a retry can be
// compared with the first attempt.
func (e *Engine) compose(request *chatRequest, prompt []string, cached int) *chatResponse {
	digest := xxhash.Sum64String(strings.Join(prompt, "\x00"))
	mean := uint64(e.config.MeanOutputTokens)
	words := []string{e.config.Name + ":"}
	for range mean/2 + digest%mean {
		digest = digest*6364136223846793005 + 1442695040888963407
		words = append(words, vocabulary[(digest>>33)%uint64(len(vocabulary))])
	}
	finish := finishStop
	if limit := request.maxTokens(); limit != nil && *limit < len(words) {
		words, finish = words[:*limit], finishLength
	}
	now := time.Now()
	return &chatResponse{
		id: "chatcmpl-" + strconv.FormatUint(digest, 36), model: request.Model, created: now, words: words, finishReason: finish,
		usage: usage{PromptTokens: len(prompt), CompletionTokens: len(words), TotalTokens: len(prompt) + len(words), PromptTokensDetails: promptTokensDetails{CachedTokens: cached}},
	}
}

// prefill waits for the time that the uncached prompt tokens take.
func (e *Engine) prefill(ctx context.Context, tokens int) error {
	steps := float64(tokens) / float64(e.config.PrefillTokens)
	return sleep(ctx, time.Duration(steps*float64(e.stepTime())))
}

// decodeStep waits for the time of one decoding step.
func (e *Engine) decodeStep(ctx context.Context) error { return sleep(ctx, e.stepTime()) }

func (e *Engine) stepTime() time.Duration {
	factor := 1 + e.config.BatchSlowdown*float64(e.batch.running()-1)
	if slow := e.currentFaults().SlowdownFactor; slow > 0 {
		factor *= slow
	}
	return time.Duration(factor * float64(e.config.StepTime))
}

// responseWriter writes a chat response word by word, as a stream or whole.
type responseWriter struct {
	w        http.ResponseWriter
	response *chatResponse
	stream   *eventStream
	options  streamOptions
	// truncateAfter is the number of words after which the connection is closed,
	// or 0 if it is not.
	truncateAfter int
	// omitDone leaves out the final [DONE] event.
	omitDone bool
}

func (e *Engine) newResponseWriter(w http.ResponseWriter, r *http.Request, request *chatRequest, response *chatResponse) *responseWriter {
	o := &responseWriter{w: w, response: response, options: request.StreamOptions}
	if e.consumeFault(func(f *EngineFaults) *int { return &f.TruncatedResponses }) {
		o.truncateAfter = max(1, len(response.words)/2)
	}
	if !request.Stream {
		return o
	}
	o.omitDone = e.consumeFault(func(f *EngineFaults) *int { return &f.UnterminatedStreams })
	o.stream = newEventStream(w, r)
	empty := ""
	_ = o.stream.send(response.chunk(delta{Role: "assistant", Content: &empty}, nil))
	return o
}

// isReceived reports whether the client already received word i. It is event
// i+2, because events count from 1 and the first one carries the role.
func (o *responseWriter) isReceived(i int) bool {
	return o.stream != nil && i+2 <= o.stream.lastEventID
}

// writeWord sends word i of a stream. It fails where the response is to be
// truncated.
func (o *responseWriter) writeWord(i int) error {
	if o.truncateAfter > 0 && i >= o.truncateAfter {
		return http.ErrAbortHandler
	}
	if o.stream == nil {
		return nil
	}
	text := o.response.words[i]
	if i > 0 {
		text = " " + text
	}
	return o.stream.send(o.response.chunk(delta{Content: &text}, nil))
}

// finish completes the response. Write errors are ignored, since the handler
// returns anyway.
func (o *responseWriter) finish() {
	if o.stream == nil {
		writeJSON(o.w, http.StatusOK, o.response.complete(strings.Join(o.response.words, " ")))
		return
	}
	if o.omitDone {
		return
	}
	_ = o.stream.send(o.response.chunk(delta{}, &o.response.finishReason))
	if o.options.IncludeUsage {
		_ = o.stream.send(o.response.usageChunk())
	}
	_ = o.stream.sendData("[DONE]")
}
