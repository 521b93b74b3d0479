package models

import "time"

// Generation is a request to an engine to generate tokens.
type Generation struct {
	ID          RequestID
	Model       Model
	Prompt      string // messages rendered into one text
	MaxTokens   int
	Temperature float64
	TopP        float64
	Seed        int64
	Stop        []string
	Priority    Priority
	// Tokens already sent to the caller; generation continues after them.
	Prior    []string
	Deadline time.Time
}

// Piece is one element of an engine's token stream: a token, or the end of the
// answer.
type Piece struct {
	Request RequestID // the request that it answers
	Index   int       // of the token in the whole answer, from 0
	Text    string
	Done    bool // end of the answer: no token, Finish is set
	Finish  Finish
}

// FinishReason is the reason why an answer ended.
type FinishReason string

// Finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Finish describes the end of an answer.
type Finish struct {
	Reason FinishReason
	Usage  TokenUsage
}

// TokenUsage counts the tokens of one answer.
type TokenUsage struct {
	Prompt int // prompt tokens, cached ones included
	Cached int // prompt tokens served from an engine's prefix cache
	Output int
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	ID       RequestID
	Service  ServiceName
	Method   string
	Path     string // relative to the service, including the query
	Header   map[string][]string
	Body     []byte
	Deadline time.Time
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}
