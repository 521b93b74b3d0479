package relay

import (
	"time"

	"quincewinch/models"
)

// Guard keeps requests from backend servers that would crash on them. It is safe for
// concurrent use.
type Guard interface {
	// Admit returns a refusal if backend servers crash on a part of a prompt, or on the
	// request as a whole, nil otherwise. It is asked each time that a request is about
	// to be sent.
	Admit(request models.RequestID, prompt models.Prompt, identity *Identity) *models.Refusal
	// Responded reports that a backend server has sent the header of a response to a
	// request that was sent to it at a time.
	Responded(server models.Upstream, sentAt time.Time)
	// Completed reports a run whose answer has arrived whole.
	Completed(run Run)
	// BrokenOff reports a run whose connection the backend server closed or reset
	// before its answer was whole.
	BrokenOff(run Run)
}

// Run is the run of a request at one backend server.
type Run struct {
	Server   models.Upstream
	Request  models.RequestID
	Prompt   models.Prompt
	Identity *Identity
	SentAt   time.Time
	BegunAt  time.Time // when the first part of the answer arrived; zero if none did
}
