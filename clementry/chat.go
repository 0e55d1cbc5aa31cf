package clementry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemconfig"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	// tokenBytes is the usual size in bytes of a token of prompt.
	tokenBytes = 4
	// defaultOutput is the estimate of output tokens where the request sets no limit.
	defaultOutput = 256
	// maxOutput bounds the estimate of output tokens that a request may claim.
	maxOutput = 16384
)

// chatRequest is what routing needs of a chat completion's body. The body
// itself goes to the engine as it came.
type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	Max      uint64        `json:"max_tokens"`
	MaxNew   uint64        `json:"max_completion_tokens"`
	CacheKey string        `json:"prompt_cache_key"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func parseChat(body []byte) (*chatRequest, error) {
	if !utf8.Valid(body) {
		return nil, clementineturn.Invalid("body", "not valid UTF-8")
	}
	chat := &chatRequest{}
	if err := json.Unmarshal(body, chat); err != nil {
		return nil, clementineturn.Invalid("body", "malformed JSON: %v", err)
	}
	if chat.Model == "" {
		return nil, clementineturn.Invalid("model", "a model's name is needed")
	}
	if len(chat.Messages) == 0 {
		return nil, clementineturn.Invalid("messages", "at least one message is needed")
	}
	for i, message := range chat.Messages {
		if message.Role == "" {
			return nil, clementineturn.Invalid("messages["+strconv.Itoa(i)+"].role", "a role is needed")
		}
	}
	return chat, nil
}

// conversation returns a digest that the turns of one chat share: the
// caller's cache key, or else the messages up to the first of the user, which
// every later turn repeats.
func (c *chatRequest) conversation() uint64 {
	digest := xxhash.New()
	if c.CacheKey != "" {
		_, _ = digest.WriteString(c.CacheKey)
		return digest.Sum64()
	}
	for _, message := range c.Messages {
		_, _ = digest.WriteString(message.Role)
		_, _ = digest.Write(message.Content)
		if message.Role == "user" {
			break
		}
	}
	return digest.Sum64()
}

// output estimates the tokens that the engine will generate.
func (c *chatRequest) output() uint64 {
	if limit := max(c.Max, c.MaxNew); limit > 0 {
		return min(limit, maxOutput)
	}
	return defaultOutput
}

func (e *Entry) chat(ctx context.Context, c *call) error {
	if id := c.r.Header.Get("Last-Event-ID"); id != "" {
		return e.resume(ctx, c, id)
	}
	body, err := e.body(c)
	if err != nil {
		return err
	}
	chat, err := parseChat(body)
	if err != nil {
		return err
	}
	conversation := chat.conversation()
	t := newTask(c.organisation.GetName(), func(state *clemconfig.State) (*plan, error) {
		pool := state.Model(chat.Model)
		if pool == nil {
			return nil, clementineturn.NewError(clementineturn.ErrorConfig{
				Kind: clementineturn.KindNotFound, Field: "model", Message: "no model " + strconv.Quote(chat.Model), NotRun: true,
			})
		}
		c.pool = pool.GetName()
		return &plan{offer: &clemwire.Offer{
			Pool: pool.GetName(), Media: "application/json", Body: body, Stream: chat.Stream,
			Mode: clemwire.Mode_MODE_IDEMPOTENT, Conversation: conversation,
			Prompt: uint64(len(body)) / tokenBytes, Output: chat.output(),
		}}, nil
	})
	return e.run(ctx, c, t, 0)
}

// resume takes up a stream after the event that the caller saw last. The id
// names attempt, backend server and frame, so any entry can serve it.
func (e *Entry) resume(ctx context.Context, c *call, id string) error {
	parts := strings.Split(id, "/")
	if len(parts) != 3 {
		return clementineturn.Invalid("Last-Event-ID", "found %q, an id of an event of this API is needed", id)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return clementineturn.Invalid("Last-Event-ID", "found %q, an id of an event of this API is needed", id)
	}
	attempt, server := parts[0], parts[1]
	request, _, ok := strings.Cut(attempt, ".")
	members := e.Board.Members().Get()
	if !ok || members == nil || members.Host(server) == nil {
		return clementineturn.Errorf(clementineturn.KindEvicted, "no answer of %q is held", id)
	}
	host := members.Host(server)
	c.request, c.pool = request, host.GetPool()
	c.w.Header().Set(headerRequest, request)
	s := &session{host: host, peer: e.Peers.Peer(host.GetAddress()), offer: &clemwire.Offer{
		Request: request, Attempt: attempt, Organisation: c.organisation.GetName(), Mode: clemwire.Mode_MODE_IDEMPOTENT,
	}}
	out := c.floor.output()
	out.resume(server, seq+1)
	err = e.router.relay(ctx, s, out)
	if err != nil && out.complete {
		// The answer itself ended in an error: no later resume can complete it.
		return clementineturn.Errorf(clementineturn.KindEvicted, "the answer cannot be completed: %w", err)
	}
	return err
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

func (e *Entry) models(_ context.Context, c *call) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, entity := range e.Board.Config().Get().List(clemwire.EntityKind_ENTITY_KIND_POOL) {
		if model := entity.GetPool().GetModel(); model != "" {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", Owner: "clementineturn"})
		}
	}
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(list)
}
