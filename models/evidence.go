package models

import "time"

// RequestHash is the hash of the ID of a request.
type RequestHash uint64

// MaxEvidenceParts bounds the prompt parts that are remembered of all requests that
// crashes broke off: those of 64 requests in each of four crashes, with headers of 16 KiB.
const MaxEvidenceParts = 1 << 18

// CrashEvidence is what daemons know of prompt parts that crash engines. They send each
// other what has changed; ages and durations count from when it is sent.
type CrashEvidence struct {
	Crashes []Crash
	Sound   []SoundPart
	Blocks  []PartBlock
}

// Crash is the moment at which a process of an engine broke off its requests.
type Crash struct {
	Engine  EngineID
	Started time.Time // of the process
	Age     time.Duration
	Refuted bool // the process has answered since
	Runs    []CrashedRun
}

// CrashedRun is a request that was broken off by a crash.
type CrashedRun struct {
	Request RequestHash
	SentAge time.Duration // since it was sent to the engine
	Parts   []SuspectPart // all but the last of its prompt, in order, and the whole
}

// SuspectPart is a prompt part of a request that was broken off, or the request as a
// whole.
type SuspectPart struct {
	ID    PartID
	Whole bool
	// Served reports that a request with the part had been answered before.
	Served bool
}

// SoundPart is a suspect part with which a request was answered to its end.
type SoundPart struct {
	ID  PartID
	Age time.Duration // since the answer began
}

// PartBlock keeps requests with a part, or one request as a whole, from engines.
type PartBlock struct {
	ID       PartID
	Whole    bool
	Age      time.Duration // since it was decided
	CrashAge time.Duration // since the last crash that it rests on
	Duration time.Duration
	Count    int // how often the part has been blocked
}
