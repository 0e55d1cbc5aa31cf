package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/clementineturn/clementineturn/clemcli"
	"github.com/clementineturn/clementineturn/clemhttp"
)

const (
	// maxEventBytes bounds the length of a line of a stream.
	maxEventBytes = 1 << 20
	doneMarker    = "[DONE]"
)

// caller sends one HTTP request and prints the response as it arrives.
type caller struct {
	url            string
	method         string
	key            string
	idempotencyKey string
	body           string
	text           bool
}

func (c *caller) command() *flaggy.Subcommand {
	c.method = http.MethodGet
	s := flaggy.NewSubcommand(roleCaller)
	s.Description = "Send one request and print the answer as it comes. An answer of status 400 or above is a failure."
	s.String(&c.url, "u", "url", "URL of the request; needed.")
	s.String(&c.method, "", "method", "Method; POST if there is a body.")
	s.String(&c.key, "k", "key", "API key of the caller's organisation.")
	s.String(&c.idempotencyKey, "", "once", "Idempotency-Key of the call.")
	s.String(&c.body, "b", "body", "Body in JSON.")
	s.Bool(&c.text, "", "text", "Print only the text of a streamed chat, which must end in [DONE].")
	return s
}

func (c *caller) run(ctx context.Context, out, errs io.Writer) int {
	if err := c.send(ctx, out); err != nil {
		fmt.Fprintln(errs, err)
		return clemcli.ExitFailed
	}
	return clemcli.ExitOK
}

func (c *caller) send(ctx context.Context, out io.Writer) error {
	if c.body != "" && c.method == http.MethodGet {
		c.method = http.MethodPost
	}
	req, err := clemhttp.NewRequest(ctx, c.method, c.url, []byte(c.body))
	if err != nil {
		return err
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	if c.body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, _, err := clemhttp.Do(clemhttp.New(clemhttp.Config{DisableKeepAlives: true}), req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		return fmt.Errorf("%s: %s", resp.Status, text)
	}
	if c.text {
		return printText(out, resp.Body)
	}
	_, err = io.Copy(out, resp.Body)
	return err
}

// printText prints the text of a streamed chat and fails unless it ends with
// doneMarker.
func printText(out io.Writer, from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneMarker {
			_, err := fmt.Fprintln(out)
			return err
		}
		text, err := chunkText(data)
		if err != nil {
			return err
		}
		if _, err := io.WriteString(out, text); err != nil {
			return err
		}
	}
	return errors.Join(errors.New("the stream ended without "+doneMarker), lines.Err())
}

// chunkText returns the text of a chunk, or the error that it carries.
func chunkText(data string) (string, error) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", err
	}
	if chunk.Error != nil {
		return "", fmt.Errorf("the stream ended with an error: %s", chunk.Error)
	}
	var text strings.Builder
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return text.String(), nil
}
