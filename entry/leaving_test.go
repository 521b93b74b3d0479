package entry_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"quincewinch/platform/emulator"
)

// Guards against requests to a server that has said in an answer that it leaves, while
// the store does not say so.
func TestServerThatLeavesGetsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	d := start(t)
	other := &emulator.Server{ID: "i-other"}
	d.register("i-other", "desk", "", other)
	for id := 0; len(other.Runs()) == 0; id++ { // until it is known
		status, _ := d.post("/reserve/x", "before-"+strconv.Itoa(id), "key-1")
		is.Equal(status, http.StatusOK)
	}
	d.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultUnavailable })
	d.plain.Leave()
	told := len(d.plain.Runs())
	for id := range 40 {
		status, _ := d.post("/reserve/x", "after-"+strconv.Itoa(id), "key-1")
		is.Equal(status, http.StatusOK)
	}
	is.True(len(d.plain.Runs()) <= told+1) // the one whose answer says that it leaves
	other.Leave()
	told = len(other.Runs())
	status, _ := d.post("/reserve/x", "last", "key-1")
	is.Equal(status, http.StatusOK)
	status, _ = d.post("/reserve/x", "refused", "key-1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(other.Runs()), told+1)
}
