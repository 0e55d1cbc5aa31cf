package clemstandin

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// withClient runs a test with the OpenAI client library against an engine.
func withClient(t *testing.T, c EngineConfig, test func(t *testing.T, e *Engine, client openai.Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		e := NewEngine(c)
		server := &http.Server{Handler: e}
		ended := make(chan error, 1)
		listener := network.Listen("engine:80")
		go func() { ended <- server.Serve(listener) }()
		synctest.Wait()
		httpClient := network.Client()
		t.Cleanup(func() {
			httpClient.CloseIdleConnections()
			require.NoError(t, server.Close())
			require.ErrorIs(t, <-ended, http.ErrServerClosed)
		})
		test(t, e, openai.NewClient(
			option.WithBaseURL("http://engine:80/v1/"), option.WithAPIKey("none"),
			option.WithHTTPClient(httpClient), option.WithMaxRetries(0),
		))
	})
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Is the crib still there?")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

func TestClientAnswers(t *testing.T) {
	withClient(t, EngineConfig{Name: "engine-1", Model: "m"}, func(t *testing.T, _ *Engine, client openai.Client) {
		params := chatParams("m")
		params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
		whole, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("m"))
		var pieces openai.ChatCompletionAccumulator
		for stream.Next() {
			require.True(t, pieces.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		require.True(t, strings.HasPrefix(whole.Choices[0].Message.Content, "engine-1: "))
		require.Equal(t, whole.Choices[0].Message.Content, pieces.Choices[0].Message.Content)
		require.Equal(t, "stop", pieces.Choices[0].FinishReason)
		require.Equal(t, whole.Usage.TotalTokens, pieces.Usage.TotalTokens)
		models, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, "m", models.Data[0].ID)
	})
}

func TestClientError(t *testing.T) {
	withClient(t, EngineConfig{Model: "m"}, func(t *testing.T, _ *Engine, client openai.Client) {
		_, err := client.Chat.Completions.New(t.Context(), chatParams("other"))
		var apiErr *openai.Error
		require.ErrorAs(t, err, &apiErr)
		require.Equal(t, http.StatusNotFound, apiErr.StatusCode)
		require.Equal(t, "model_not_found", apiErr.Code)
	})
}

func TestClientCancel(t *testing.T) {
	withClient(t, EngineConfig{Model: "m", MeanOutputTokens: 1000}, func(t *testing.T, e *Engine, client openai.Client) {
		ctx, cancel := context.WithCancel(t.Context())
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams("m"))
		require.True(t, stream.Next())
		require.Equal(t, 1, e.batch.running())
		cancel()
		for stream.Next() {
		}
		require.ErrorIs(t, stream.Err(), context.Canceled)
		time.Sleep(time.Second)
		require.Zero(t, e.batch.running())
	})
}
