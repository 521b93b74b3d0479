package models

import "time"

// Generation is what an engine is asked to do for one request.
type Generation struct {
	ID          RequestID
	Model       Model
	Prompt      string // messages rendered to one text
	MaxTokens   int
	Temperature float64
	TopP        float64
	Seed        int64
	Stop        []string
	Priority    Priority
	Prior       []string // tokens already given to the caller; generation goes on after them
	Deadline    time.Time
}

// Piece is one step of an engine's stream: a token, or the finish.
type Piece struct {
	Request RequestID // whose answer this is
	Index   int       // of the token from the start of the answer, from 0
	Text    string
	Done    bool // no token: Finish holds the end of the answer
	Finish  Finish
}

// FinishReason tells why an answer ended.
type FinishReason string

// Reasons why an answer ended.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Finish ends an answer.
type Finish struct {
	Reason FinishReason
	Usage  TokenUsage
}

// TokenUsage counts the tokens of one answer.
type TokenUsage struct {
	Prompt int // prompt tokens, cached ones included
	Cached int // prompt tokens served from an engine's prefix cache
	Output int // output tokens
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	ID       RequestID
	Service  ServiceName
	Method   string
	Path     string // below the service, with its query
	Header   map[string][]string
	Body     []byte
	Deadline time.Time
}

// ServiceResponse is a plain service's whole answer.
type ServiceResponse struct {
	Status int
	Header map[string][]string
	Body   []byte
}
