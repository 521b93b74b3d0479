package demo_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"quincewinch/demo"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/standin/engine"
)

// client returns OpenAI's own Go client, configured to call the second daemon.
func client(running *demo.System, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(running.Ready.Callers[1]+"/v1"),
		option.WithAPIKey(key),
	)
}

func ask(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "catalogue",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// expectRefusal asserts that err is an API error with a status and code.
func expectRefusal(t *testing.T, err error, status int, code models.RefusalCode) {
	t.Helper()
	is := is.New(t)
	var refusal *openai.Error
	is.True(errors.As(err, &refusal)) // API error
	is.Equal(refusal.StatusCode, status)
	is.Equal(refusal.Code, string(code))
}

// longQuestion returns a question whose answer has at least 50 tokens, so that
// there is time to cancel it.
func longQuestion() string {
	question := "Which walnut?"
	for engine.AnswerLength("catalogue", "user: "+question+"\n") < 50 {
		question += "?"
	}
	return question
}

func TestOpenAIClient(t *testing.T) {
	running := startDemo(t)
	c := client(running, running.Ready.Workspaces[0].Key)
	want := engine.Answer("catalogue", "user: Which ash?\n", 0)
	t.Run("not streamed", func(t *testing.T) {
		is := is.New(t)
		answer, err := c.Chat.Completions.New(t.Context(), ask("Which ash?"))
		is.NoErr(err)
		is.Equal(answer.Choices[0].Message.Content, want)
		is.True(answer.Usage.CompletionTokens > 0) // usage is reported
	})
	t.Run("streamed", func(t *testing.T) {
		is := is.New(t)
		stream := c.Chat.Completions.NewStreaming(t.Context(), ask("Which ash?"))
		var text string
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text += choice.Delta.Content
			}
		}
		is.NoErr(stream.Err())
		is.Equal(text, want)
	})
	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		list, err := c.Models.List(t.Context())
		is.NoErr(err)
		is.Equal(list.Data[0].ID, "catalogue")
	})
	t.Run("wrong key", func(t *testing.T) {
		wrong := client(running, "wrong")
		_, err := wrong.Chat.Completions.New(t.Context(), ask("Which ash?"))
		expectRefusal(t, err, http.StatusUnauthorized, models.RefusalInvalidKey)
	})
	t.Run("unknown model", func(t *testing.T) {
		question := ask("Which ash?")
		question.Model = "none"
		_, err := c.Chat.Completions.New(t.Context(), question)
		expectRefusal(t, err, http.StatusNotFound, models.RefusalUnknownRoute)
	})
	t.Run("malformed", func(t *testing.T) {
		_, err := c.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "catalogue"})
		expectRefusal(t, err, http.StatusBadRequest, models.RefusalMalformed)
	})
	t.Run("cancelled", func(t *testing.T) {
		cancelMidStream(t, running, c)
	})
}

// cancelMidStream cancels a stream after its first token and waits until the
// engine has cancelled the request. It waits forever if the answer completes
// before the cancellation reaches the engine.
func cancelMidStream(t *testing.T, running *demo.System, c openai.Client) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	stream := c.Chat.Completions.NewStreaming(ctx, ask(longQuestion()))
	is.True(stream.Next()) // the first token
	cancel()
	_ = stream.Close()
	clock := system.NewClock()
	for cancelled(running) == 0 {
		is.NoErr(clock.Sleep(t.Context(), time.Millisecond))
	}
}

// cancelled returns the number of requests that engines cancelled before their
// end.
func cancelled(running *demo.System) int {
	total := 0
	for _, e := range running.Engines {
		total += e.Cancelled()
	}
	return total
}
