package clementry

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
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
		return nil, malformed(err)
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

// malformed names the field of a value of the wrong type.
func malformed(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return clementineturn.Invalid(wrong.Field, "found a JSON %s, a %s is needed", wrong.Value, wrong.Type.Kind())
	}
	return clementineturn.Invalid("body", "malformed JSON: %v", err)
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
	if id := c.r.Header.Get(headerEvent); id != "" {
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
	t := newTask(c.request, c.organisation.GetName(), func(state *clemconfig.State) (*plan, error) {
		pool := state.Model(chat.Model)
		if pool == nil {
			return nil, clementineturn.NewError(clementineturn.ErrorConfig{
				Kind: clementineturn.KindNotFound, Field: "model", Message: "no model " + strconv.Quote(chat.Model), NotRun: true,
			})
		}
		return &plan{offer: &clemwire.Offer{
			Pool: pool.GetName(), Media: "application/json", Body: body, Stream: chat.Stream,
			Mode: clemwire.Mode_MODE_IDEMPOTENT, Conversation: conversation,
			Prompt: uint64(len(body)) / tokenBytes, Output: chat.output(),
		}}, nil
	})
	return e.run(ctx, c, t, 0)
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
	for _, entity := range e.config.Board.Config().Get().List(clemwire.EntityKind_ENTITY_KIND_POOL) {
		if model := entity.GetPool().GetModel(); model != "" {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", Owner: "clementineturn"})
		}
	}
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(list)
}
