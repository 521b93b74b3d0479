package caller

// JSON messages of the OpenAI-compatible protocol. The field names are defined
// by the protocol, except not-run and evidence.

type message struct {
	Role    string      `json:"role"`
	Content textContent `json:"content"`
}

type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []message      `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Temperature         float64        `json:"temperature"`
	TopP                float64        `json:"top_p"`
	Seed                int64          `json:"seed"`
	Stop                stopSequences  `json:"stop"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
}

type completionRequest struct {
	Model         string         `json:"model"`
	Prompt        textContent    `json:"prompt"`
	MaxTokens     int            `json:"max_tokens"`
	Temperature   float64        `json:"temperature"`
	TopP          float64        `json:"top_p"`
	Seed          int64          `json:"seed"`
	Stop          stopSequences  `json:"stop"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	PromptDetails    promptDetail `json:"prompt_tokens_details"`
}

type promptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

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

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message  string  `json:"message"`
	Type     string  `json:"type"`
	Param    *string `json:"param"`
	Code     string  `json:"code"`
	NotRun   bool    `json:"not-run"`
	Evidence string  `json:"evidence,omitempty"`
}
