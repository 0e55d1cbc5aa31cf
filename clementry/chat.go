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
	// bytesPerToken is the typical size of a prompt token.
	bytesPerToken = 4
	// defaultOutputTokens is the estimate for a request without an output limit.
	defaultOutputTokens = 256
	// maxOutputTokens bounds the estimate for a request with a larger limit.
	maxOutputTokens = 16384
)

// chatRequest holds the fields of a chat completion's body that routing needs.
// The body itself is forwarded unchanged.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           uint64        `json:"max_tokens"`
	MaxCompletionTokens uint64        `json:"max_completion_tokens"`
	CacheKey            string        `json:"prompt_cache_key"`
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
		return nil, jsonError(err)
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

// jsonError returns the error of a body that does not decode. It names the field
// of a value of the wrong type.
func jsonError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return clementineturn.Invalid(wrong.Field, "found a JSON %s, a %s is needed", wrong.Value, wrong.Type.Kind())
	}
	return clementineturn.Invalid("body", "malformed JSON: %v", err)
}

// conversationDigest returns a digest that all turns of a chat share: that of
// the caller's cache key, or else of the messages up to and including the first
// user message, which every later turn repeats.
func (c *chatRequest) conversationDigest() uint64 {
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

// outputTokens estimates the number of tokens that the engine will generate.
func (c *chatRequest) outputTokens() uint64 {
	if limit := max(c.MaxTokens, c.MaxCompletionTokens); limit > 0 {
		return min(limit, maxOutputTokens)
	}
	return defaultOutputTokens
}

func (e *Entry) handleChat(ctx context.Context, c *callerRequest) error {
	if id := c.r.Header.Get(headerLastEventID); id != "" {
		return e.resumeStream(ctx, c, id)
	}
	body, err := e.readBody(c)
	if err != nil {
		return err
	}
	chat, err := parseChat(body)
	if err != nil {
		return err
	}
	conversation := chat.conversationDigest()
	t := newTask(c.requestID, c.organisation.GetName(), func(state *clemconfig.State) (*plan, error) {
		pool := state.PoolByModel(chat.Model)
		if pool == nil {
			return nil, clementineturn.NewError(clementineturn.ErrorConfig{
				Kind: clementineturn.KindNotFound, Field: "model", Message: "no model " + strconv.Quote(chat.Model), NotRun: true,
			})
		}
		return &plan{offer: &clemwire.Offer{
			Pool: pool.GetName(), Media: "application/json", Body: body, Stream: chat.Stream,
			Mode: clemwire.Mode_MODE_IDEMPOTENT, Conversation: conversation,
			Prompt: uint64(len(body)) / bytesPerToken, Output: chat.outputTokens(),
		}}, nil
	})
	return e.serveTask(ctx, c, t, 0)
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) handleModels(_ context.Context, c *callerRequest) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, entity := range e.config.Board.Config().Get().List(clemwire.EntityKind_ENTITY_KIND_POOL) {
		if model := entity.GetPool().GetModel(); model != "" {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: "clementineturn"})
		}
	}
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(list)
}
