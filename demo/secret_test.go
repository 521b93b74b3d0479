package demo_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"quincewinch/demo"
	"quincewinch/lib/logfmt"
	"quincewinch/peer/system"
)

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(raw []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(raw)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// receivedByBackends returns the text of all requests that the backend servers
// received.
func receivedByBackends(running *demo.System) string {
	var all strings.Builder
	for _, e := range running.Engines {
		for _, received := range e.Received() {
			_, _ = fmt.Fprintln(&all, received)
		}
	}
	for _, s := range running.Services {
		for _, booking := range s.Calls() {
			_, _ = fmt.Fprintln(&all, booking)
		}
	}
	return all.String()
}

// TestKeysAreNotLeakedToBackendsOrLogs checks that a caller's key reaches
// neither the backend servers nor the debug log, that the operators' key is not
// logged, and that requests with their key in the URL or body are rejected.
func TestKeysAreNotLeakedToBackendsOrLogs(t *testing.T) {
	is := is.New(t)
	var log lockedBuffer
	logger, err := logfmt.New("debug", &log)
	is.NoErr(err)
	deployment, err := demo.Find("zarqa")
	is.NoErr(err)
	running, err := demo.Start(t.Context(), deployment, system.NewClock(), logger, demo.Options{})
	is.NoErr(err)
	key := running.Ready.Workspaces[0].Key
	address := running.Ready.Callers[0]
	drafting := `{"model": "drafting", "messages": [{"role": "user", "content": "Slit how wide?"}]}`

	status, _ := post(t, address+"/v1/chat/completions", key, drafting)
	is.Equal(status, http.StatusOK)
	status, _ = post(t, address+"/services/cut-releases/coil", key, "coil 7")
	is.Equal(status, http.StatusOK)
	status, body := post(t, address+"/services/coils/?key="+key, key, "")
	is.Equal(status, http.StatusBadRequest) // key in the URL
	is.True(strings.Contains(body, `"not-run":true`))
	status, _ = post(t, address+"/services/coils/", key, "my key is "+key)
	is.Equal(status, http.StatusBadRequest) // key in the body
	is.NoErr(running.Stop(context.Background()))

	received := receivedByBackends(running)
	is.True(strings.Contains(received, "coil 7"))                       // service received the request
	is.True(!strings.Contains(received, key))                           // but not the key
	is.True(strings.Contains(log.String(), "placed on engine"))         // request is logged
	is.True(!strings.Contains(log.String(), key))                       // but not the key
	is.True(!strings.Contains(log.String(), running.Ready.OperatorKey)) // nor the operators' key
}
