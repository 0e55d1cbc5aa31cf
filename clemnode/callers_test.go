package clemnode

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const (
	tokenInterval = time.Millisecond
	// unboundedOutput is the mean length, in tokens, of responses without
	// max_tokens.
	unboundedOutput = 16_000
)

func (f *testFleet) openAIClient(entry, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(entry+"/v1/"), option.WithAPIKey(key), option.WithHTTPClient(f.client), option.WithMaxRetries(0),
	)
}

func chatParams(name string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: name, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a cot from Howrah")},
	}
}

// TestOpenAIClient runs the official Go client against entry, sidecar and
// engine.
func TestOpenAIClient(t *testing.T) {
	f := newFleet(t, clemstandin.EngineConfig{StepTime: tokenInterval, MeanOutputTokens: unboundedOutput})
	client := f.openAIClient(f.entries[0], f.keys["cribs"])
	ctx := t.Context()

	t.Run("models", func(t *testing.T) {
		list, err := client.Models.List(ctx)
		require.NoError(t, err)
		require.Len(t, list.Data, 1)
		require.Equal(t, model, list.Data[0].ID)
	})
	t.Run("non-stream and stream", func(t *testing.T) {
		whole, err := client.Chat.Completions.New(ctx, chatParams(model, 12))
		require.NoError(t, err)
		require.Len(t, whole.Choices, 1)
		require.Len(t, strings.Fields(whole.Choices[0].Message.Content), 12)
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams(model, 12))
		accumulated, chunks := openai.ChatCompletionAccumulator{}, 0
		for stream.Next() {
			require.True(t, accumulated.AddChunk(stream.Current()))
			chunks++
		}
		require.NoError(t, stream.Err())
		require.NoError(t, stream.Close())
		require.Greater(t, chunks, 12)
		require.Equal(t, whole.Choices[0].Message.Content, accumulated.Choices[0].Message.Content)
	})
	t.Run("errors", func(t *testing.T) {
		for _, test := range []struct {
			key, model, code, param string
			status                  int
		}{
			{f.keys["cribs"], "no-such-model", "not_found", "model", http.StatusNotFound},
			{"ct-wrong", model, "unauthenticated", "", http.StatusUnauthorized},
		} {
			other := f.openAIClient(f.entries[0], test.key)
			_, err := other.Chat.Completions.New(ctx, chatParams(test.model, 4))
			var failure *openai.Error
			require.ErrorAs(t, err, &failure)
			require.Equal(t, test.status, failure.StatusCode)
			require.Equal(t, test.code, failure.Code)
			require.Equal(t, test.param, failure.Param)
			stream := other.Chat.Completions.NewStreaming(ctx, chatParams(test.model, 4))
			require.False(t, stream.Next())
			require.ErrorAs(t, stream.Err(), &failure)
			require.Equal(t, test.code, failure.Code)
			_ = stream.Close()
		}
	})
	t.Run("cancel", func(t *testing.T) {
		before := f.runningChats()
		for _, streamed := range []bool{true, false} {
			ctx, cancel := context.WithCancel(ctx)
			params, ended := chatParams(model, 16000), make(chan error, 1)
			if streamed {
				stream := client.Chat.Completions.NewStreaming(ctx, params)
				require.True(t, stream.Next())
				cancel()
				for stream.Next() {
				}
				ended <- stream.Err()
				_ = stream.Close()
			} else {
				go func() {
					_, err := client.Chat.Completions.New(ctx, params)
					ended <- err
				}()
				require.Eventually(t, func() bool { return f.runningChats() > before }, waitTimeout, pollInterval)
				cancel()
			}
			require.ErrorIs(t, <-ended, context.Canceled)
			require.Eventually(t, func() bool { return f.runningChats() == before }, waitTimeout, pollInterval, "the engine keeps running the chat")
		}
	})
}

// runningChats returns the number of chats that the engines are running.
func (f *testFleet) runningChats() int {
	n := 0
	for _, engine := range f.engines {
		running, _ := engine.snapshot()
		n += running
	}
	return n
}
