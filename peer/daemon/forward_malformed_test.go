package daemon

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/peer"
)

// Guards against answers that a daemon of an earlier version passes on for this one and
// that no daemon should accept.
func TestForwardMalformedAnswer(t *testing.T) {
	for name, change := range map[string]func(answer *peer.UpstreamResponse){
		"no status":       func(answer *peer.UpstreamResponse) { answer.Status = 0 },
		"status 99":       func(answer *peer.UpstreamResponse) { answer.Status = 99 },
		"status 600":      func(answer *peer.UpstreamResponse) { answer.Status = 600 },
		"blank in a name": func(answer *peer.UpstreamResponse) { answer.Header = http.Header{"X Y": {"1"}} },
	} {
		t.Run(name, func(t *testing.T) {
			forwarder := newFakeForwarder()
			answer := fullAnswer()
			answer.Body = io.NopCloser(strings.NewReader("answer"))
			change(&answer)
			forwarder.answerWith(answer)
			client, _ := forwardBy(t, forwarder)
			_, err := client.Send(t.Context(), target(), fullCall())
			is.New(t).True(err != nil)
			isFailure(t, err, peer.OutcomeUnknown, false)
		})
	}
}
