package caller

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"quincewinch/models"
)

// textContent is the text of a message or prompt. In JSON it is a string or a
// list of parts, whose texts are concatenated.
type textContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *textContent) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		*c = textContent(text)
		return nil
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return errors.New("content must be a text or a list of parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		text, err := partText(part)
		if err != nil {
			return err
		}
		joined.WriteString(text)
	}
	*c = textContent(joined.String())
	return nil
}

// partText returns the text of a content part. An image is represented by its
// URL.
func partText(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var part struct {
		Text  string `json:"text"`
		Image struct {
			URL string `json:"url"`
		} `json:"image_url"`
	}
	if err := json.Unmarshal(raw, &part); err != nil {
		return "", errors.New("a part of the content is neither text nor image")
	}
	return part.Text + part.Image.URL, nil
}

// stopSequences holds the stop sequences. In JSON it is a string or a list of
// strings.
type stopSequences []string

// UnmarshalJSON implements json.Unmarshaler.
func (s *stopSequences) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" {
		return nil
	}
	var one string
	if err := json.Unmarshal(raw, &one); err == nil {
		*s = stopSequences{one}
		return nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil {
		return errors.New("stop must be a text or a list of texts")
	}
	*s = list
	return nil
}

// tokenRequest is a decoded chat or text completion request and the requested
// form of its answer.
type tokenRequest struct {
	generation   models.Generation
	chat         bool
	stream       bool
	includeUsage bool
}

func decodeChat(raw []byte) (tokenRequest, error) {
	var form chatRequest
	if err := json.Unmarshal(raw, &form); err != nil {
		return tokenRequest{}, errors.NewNotValid(err, "body is no chat completion request")
	}
	if len(form.Messages) == 0 {
		return tokenRequest{}, errors.NotValidf("messages: must not be empty")
	}
	var prompt strings.Builder
	for _, m := range form.Messages {
		prompt.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	maxTokens := form.MaxCompletionTokens
	if maxTokens == 0 {
		maxTokens = form.MaxTokens
	}
	d := tokenRequest{
		generation: models.Generation{
			Model:       models.Model(form.Model),
			Prompt:      prompt.String(),
			MaxTokens:   maxTokens,
			Temperature: form.Temperature,
			TopP:        form.TopP,
			Seed:        form.Seed,
			Stop:        form.Stop,
		},
		chat:         true,
		stream:       form.Stream,
		includeUsage: form.StreamOptions != nil && form.StreamOptions.IncludeUsage,
	}
	return d, validate(d.generation)
}

func decodeCompletion(raw []byte) (tokenRequest, error) {
	var form completionRequest
	if err := json.Unmarshal(raw, &form); err != nil {
		return tokenRequest{}, errors.NewNotValid(err, "body is no completion request")
	}
	d := tokenRequest{
		generation: models.Generation{
			Model:       models.Model(form.Model),
			Prompt:      string(form.Prompt),
			MaxTokens:   form.MaxTokens,
			Temperature: form.Temperature,
			TopP:        form.TopP,
			Seed:        form.Seed,
			Stop:        form.Stop,
		},
		stream:       form.Stream,
		includeUsage: form.StreamOptions != nil && form.StreamOptions.IncludeUsage,
	}
	return d, validate(d.generation)
}

func validate(generation models.Generation) error {
	switch {
	case generation.Model == "":
		return errors.NotValidf("model: missing,")
	case generation.Prompt == "":
		return errors.NotValidf("prompt: missing,")
	case generation.MaxTokens < 0:
		return errors.NotValidf("max_tokens: negative,")
	}
	return nil
}
