package relay_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/relay"
)

func sameCall() models.UpstreamCall {
	return models.UpstreamCall{ID: "r1", Method: http.MethodPost, Host: "h", Target: "/a?b", Workspace: "w", Body: []byte("body")}
}

func TestIdentity(t *testing.T) {
	call := sameCall()
	id := relay.NewIdentity(&call).ID()
	t.Run("is the same for a request that comes again", func(t *testing.T) {
		again := sameCall()
		again.ID, again.Header, again.ResumeAfter = "r2", http.Header{"X": {"y"}}, "7"
		is.New(t).Equal(relay.NewIdentity(&again).ID(), id)
	})
	t.Run("is computed once", func(t *testing.T) {
		is := is.New(t)
		call := sameCall()
		identity := relay.NewIdentity(&call)
		is.Equal(identity.ID(), id)
		call.Body = nil
		is.Equal(identity.ID(), id)
	})
	t.Run("of a large body is cheap once it is known", func(t *testing.T) {
		is := is.New(t)
		call := sameCall()
		call.Body = make([]byte, 1<<20)
		identity := relay.NewIdentity(&call)
		is.True(!identity.Cheap())
		identity.ID()
		is.True(identity.Cheap())
	})
	changes := map[string]func(call *models.UpstreamCall){
		"method":             func(call *models.UpstreamCall) { call.Method = http.MethodGet },
		"host":               func(call *models.UpstreamCall) { call.Host = "g" },
		"path":               func(call *models.UpstreamCall) { call.Target = "/a" },
		"caller":             func(call *models.UpstreamCall) { call.Workspace = "v" },
		"body":               func(call *models.UpstreamCall) { call.Body = []byte("bodz") },
		"border of the path": func(call *models.UpstreamCall) { call.Host, call.Target = "h/", "a?b" },
	}
	for name, change := range changes {
		t.Run("differs by "+name, func(t *testing.T) {
			other := sameCall()
			change(&other)
			is.New(t).True(relay.NewIdentity(&other).ID() != id)
		})
	}
}

func BenchmarkIdentity(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body of %d bytes", size), func(b *testing.B) {
			call := sameCall()
			call.Body = bytes.Repeat([]byte("x"), size)
			for b.Loop() {
				relay.NewIdentity(&call).ID()
			}
		})
	}
}
