package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

func TestDrainIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFixture(t, nil, nil)
		idle, begun, left := f.listener.dial(nil), f.listener.dial(nil), f.listener.dial(nil)
		defer idle.Close()
		defer begun.Close()
		send(t, begun, request[:10])
		send(t, left, request[:10])
		synctest.Wait()
		stopped := f.stop(t)
		synctest.Wait()
		send(t, begun, request[10:])
		is.Equal(readAnswer(begun), http.StatusOK)
		left.Close()
		is.NoErr(<-stopped)
		logged := f.logs.FilterMessage("connections of callers drained").All()
		is.Equal(len(logged), 1)
		fields := logged[0].ContextMap()
		is.True(fields["took"] != nil)
		delete(fields, "took")
		is.Equal(fields, map[string]any{
			"closed-idle": int64(1), "late-answered": int64(0), "discarded": int64(0), "unanswered": int64(0), "open": int64(0),
		})
	})
}

func TestRequestReadAsTheDrainLooksIsAnswered(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStopFixture(t, nil, nil)
				var holds atomic.Bool
				release := make(chan struct{})
				conn := f.listener.dial(func(conn net.Conn) net.Conn {
					return &hookConn{Conn: conn, afterRead: func(n int) {
						if holds.Load() && n > 0 {
							<-release
						}
					}}
				})
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if kept {
					send(t, conn, request)
					is.Equal(readNextAnswer(reader), http.StatusOK)
				}
				synctest.Wait() // the server waits for a request
				holds.Store(true)
				send(t, conn, request) // the server has read it
				stopped := f.stop(t)
				synctest.Wait()
				close(release)
				is.Equal(readNextAnswer(reader), http.StatusOK)
				is.NoErr(<-stopped)
			})
		})
	}
}

func TestRequestAcceptedAsTheDrainEndsIsAnsweredOrNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accept, closeIdle, finish := make(chan struct{}), make(chan struct{}), make(chan struct{})
		var holds, late, handled atomic.Bool
		var f *stopFixture
		f = newStopFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if late.Load() {
				handled.Store(true)
				<-finish
			}
			f.answer(w, r)
		}), func(listener net.Listener) net.Listener {
			return hookListener{listener, func() {
				if holds.Load() {
					<-accept
				}
			}}
		})
		idle := f.listener.dial(func(conn net.Conn) net.Conn {
			return &hookConn{Conn: conn, beforeClose: func() { <-closeIdle }}
		})
		defer idle.Close()
		send(t, idle, request)
		is.Equal(readAnswer(idle), http.StatusOK)
		synctest.Wait() // the connection is idle
		holds.Store(true)
		late.Store(true)
		conn := f.listener.dial(nil)
		defer conn.Close()
		status := make(chan int, 1)
		go func() {
			if _, err := io.WriteString(conn, request); err != nil {
				status <- 0
				return
			}
			status <- readAnswer(conn)
		}()
		stopped := f.stop(t)
		synctest.Wait()
		close(accept)
		synctest.Wait()
		close(closeIdle)
		synctest.Wait()
		close(finish)
		is.NoErr(<-stopped)
		if got := <-status; handled.Load() {
			is.Equal(got, http.StatusOK)
		}
	})
}
