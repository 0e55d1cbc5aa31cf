package clemstandin

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	maxChatBytes       = 8 << 20
	typeInvalidRequest = "invalid_request_error"
	typeServerError    = "server_error"
)

// chatRequest holds the fields of a chat completion request that the engine
// supports. Other fields are ignored, as real engines do.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the content of a message: a text, or a list of parts whose
// texts are joined with spaces.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a text or a list of parts")
	}
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = part.Text
	}
	*c = chatContent(strings.Join(texts, " "))
	return nil
}

// decodeChat decodes and validates a request body. The error is meant for the
// client.
func decodeChat(body []byte) (*chatRequest, *apiError) {
	request := &chatRequest{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, newInvalidRequestError("", "the body is no chat completion request: "+err.Error())
	}
	if request.Model == "" {
		return nil, newInvalidRequestError("model", "a model is needed")
	}
	if len(request.Messages) == 0 {
		return nil, newInvalidRequestError("messages", "at least one message is needed")
	}
	for _, message := range request.Messages {
		if message.Role == "" {
			return nil, newInvalidRequestError("messages", "each message needs a role")
		}
	}
	if limit := request.maxTokens(); limit != nil && *limit < 1 {
		return nil, newInvalidRequestError("max_tokens", "at least 1 is needed")
	}
	return request, nil
}

// maxTokens returns the limit on the tokens of the response, or nil if there is
// none.
func (r *chatRequest) maxTokens() *int {
	if r.MaxCompletionTokens != nil {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// promptTokens splits the prompt into tokens: one for each role and each word.
func (r *chatRequest) promptTokens() []string {
	var tokens []string
	for _, message := range r.Messages {
		tokens = append(tokens, "<"+message.Role+">")
		tokens = append(tokens, strings.Fields(string(message.Content))...)
	}
	return tokens
}

// apiError is an error in the format of the OpenAI API.
type apiError struct {
	status  int
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
}

func newInvalidRequestError(param, message string) *apiError {
	e := &apiError{status: http.StatusBadRequest, Message: message, Type: typeInvalidRequest}
	if param != "" {
		e.Param = &param
	}
	return e
}

func newUnavailableError(message string) *apiError {
	return &apiError{status: http.StatusServiceUnavailable, Message: message, Type: typeServerError}
}

// asAPIError converts an error of the root package to the API's format.
func asAPIError(err error) *apiError {
	e := clementineturn.AsError(err)
	info := e.Kind().Info()
	return (&apiError{status: info.Status(), Message: e.Message(), Type: info.OpenAIType()}).withCode(info.Name())
}

func (e *apiError) withCode(code string) *apiError {
	e.Code = &code
	return e
}

func writeAPIError(w http.ResponseWriter, e *apiError) {
	if e.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, e.status, struct {
		Error *apiError `json:"error"`
	}{e})
}
