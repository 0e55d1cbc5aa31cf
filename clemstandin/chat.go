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
	maxChat        = 8 << 20
	invalidRequest = "invalid_request_error"
	serverError    = "server_error"
)

// chatRequest is the part of a chat completion request that the engine
// understands. It ignores the other fields, as engines do.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	MaxTokens     *int          `json:"max_tokens"`
	MaxCompletion *int          `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a text or a list of parts, of which it keeps the texts.
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

// decodeChat returns the request in a body, or the error to answer with.
func decodeChat(body []byte) (*chatRequest, *apiError) {
	request := &chatRequest{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, invalid("", "the body is no chat completion request: "+err.Error())
	}
	if request.Model == "" {
		return nil, invalid("model", "a model is needed")
	}
	if len(request.Messages) == 0 {
		return nil, invalid("messages", "at least one message is needed")
	}
	for _, message := range request.Messages {
		if message.Role == "" {
			return nil, invalid("messages", "each message needs a role")
		}
	}
	if limit := request.limit(); limit != nil && *limit < 1 {
		return nil, invalid("max_tokens", "at least 1 is needed")
	}
	return request, nil
}

// limit returns the most tokens of the answer, or nil.
func (r *chatRequest) limit() *int {
	if r.MaxCompletion != nil {
		return r.MaxCompletion
	}
	return r.MaxTokens
}

// tokens returns the prompt's tokens: roles and words.
func (r *chatRequest) tokens() []string {
	var tokens []string
	for _, message := range r.Messages {
		tokens = append(tokens, "<"+message.Role+">")
		tokens = append(tokens, strings.Fields(string(message.Content))...)
	}
	return tokens
}

// apiError is an error in the OpenAI form.
type apiError struct {
	status  int
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
}

func invalid(param, message string) *apiError {
	e := &apiError{status: http.StatusBadRequest, Message: message, Type: invalidRequest}
	if param != "" {
		e.Param = &param
	}
	return e
}

func unavailable(message string) *apiError {
	return &apiError{status: http.StatusServiceUnavailable, Message: message, Type: serverError}
}

// refused returns the API's form of an error of the closed list.
func refused(err error) *apiError {
	e := clementineturn.AsError(err)
	info := e.Kind().Info()
	return (&apiError{status: info.Status(), Message: e.Message(), Type: info.Family()}).withCode(info.Name())
}

func (e *apiError) withCode(code string) *apiError {
	e.Code = &code
	return e
}

func writeAPIError(w http.ResponseWriter, e *apiError) {
	if e.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	writeJSON(w, e.status, struct {
		Error *apiError `json:"error"`
	}{e})
}
