package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"quincewinch/peer/system"
)

func TestDrainIsCounted(t *testing.T) {
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
		is.Equal(f.Counts(), Counts{Idle: 1})
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
				is.Equal(f.Counts().Late, int64(1))
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

func TestBegunRequestIsAnsweredByADrain(t *testing.T) {
	const (
		post    = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
		chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"
	)
	large := "GET /" + strings.Repeat("a", 10000) + " HTTP/1.1\r\nHost: h"
	tests := []struct {
		name, before, after string
	}{
		{"a byte", request[:1], request[1:]},
		{"part of a header", request[:20], request[20:]},
		{"header", post, "body"},
		{"part of a body", post + "bo", "dy"},
		{"part of a chunk", chunked, "dy\r\n0\r\n\r\n"},
		{"header of more than one read", large, "\r\n\r\n"},
		{"all but a byte of the server's buffer", large[:4095], large[4095:] + "\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStopFixture(t, nil, nil)
				conn := f.listener.dial(nil)
				defer conn.Close()
				send(t, conn, test.before)
				synctest.Wait()
				stopped := f.stop(t)
				synctest.Wait()
				send(t, conn, test.after)
				is.Equal(readAnswer(conn), http.StatusOK)
				is.NoErr(<-stopped)
			})
		})
	}
}

func TestPipelinedRequestIsAnsweredByADrain(t *testing.T) {
	for name, read := range map[string]int{"whole": len(request), "part of a header": 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newStopFixture(t, nil, nil)
				release := make(chan struct{})
				stateChanged := f.server.ConnState
				f.server.ConnState = func(conn net.Conn, state http.ConnState) {
					stateChanged(conn, state)
					if state == http.StateIdle {
						<-release
					}
				}
				conn := f.listener.dial(nil)
				defer conn.Close()
				send(t, conn, request+request[:read])
				reader := bufio.NewReader(conn)
				is.Equal(readNextAnswer(reader), http.StatusOK)
				synctest.Wait()
				stopped := f.stop(t)
				synctest.Wait()
				close(release)
				go func() { _, _ = io.WriteString(conn, request[read:]) }() // fails if it is not read
				is.Equal(readNextAnswer(reader), http.StatusOK)
				is.NoErr(<-stopped)
			})
		})
	}
}

func TestDrainDoesNotCancelARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finish := make(chan struct{})
		var cancelled atomic.Bool
		var f *stopFixture
		f = newStopFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-finish
			cancelled.Store(r.Context().Err() != nil)
			f.answer(w, r)
		}), nil)
		conn := f.listener.dial(nil)
		defer conn.Close()
		send(t, conn, request)
		stopped := f.stop(t)
		synctest.Wait()
		close(finish)
		is.Equal(readAnswer(conn), http.StatusOK)
		is.NoErr(<-stopped)
		is.True(!cancelled.Load())
	})
}

func TestDrainEndsThoughACallerStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFixture(t, nil, nil)
		conn := f.listener.dial(nil)
		defer conn.Close()
		send(t, conn, "GET / HTTP/1.1\r\n")
		synctest.Wait()
		begun := f.clock.Now()
		is.NoErr(<-f.stop(t))
		is.True(f.clock.Now().Sub(begun) <= headerTimeout+drainInterval)
		is.Equal(f.Counts().Unanswered, int64(1))
	})
}

func TestInterruptedReadKeepsTheServersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFixture(t, nil, nil)
		release := make(chan struct{})
		conn := f.listener.dial(func(conn net.Conn) net.Conn {
			return &hookConn{Conn: conn, afterRead: func(int) { <-release }}
		})
		defer conn.Close()
		send(t, conn, "GET / HTTP/1.1\r\n")
		begun := f.clock.Now()
		stopped := f.stop(t)
		synctest.Wait()
		close(release)
		is.NoErr(<-stopped)
		took := f.clock.Now().Sub(begun)
		is.True(took >= headerTimeout && took <= headerTimeout+drainInterval)
	})
}

func TestDeadlineOfTheServerDoesNotUndoAnInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		caller, server := net.Pipe()
		defer caller.Close()
		release := make(chan struct{})
		conn := &trackedConn{connections: &connections{}, Conn: &hookConn{Conn: server, beforeRead: func() { <-release }}}
		read := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 10))
			read <- err
		}()
		synctest.Wait()
		is.True(!conn.stopIdle())
		is.NoErr(conn.SetDeadline(clock.Now().Add(time.Hour)))
		begun := clock.Now()
		close(release)
		is.True(errors.Is(<-read, net.ErrClosed))
		is.Equal(clock.Now(), begun)
	})
}

func TestDrainEndsThoughARequestFilledTheServersBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFixture(t, nil, nil)
		conn := f.listener.dial(nil)
		defer conn.Close()
		large := "GET /" + strings.Repeat("a", 10000) + " HTTP/1.1\r\nHost: h\r\n\r\n"
		send(t, conn, large[:4095])
		synctest.Wait()
		send(t, conn, large[4095:])
		is.Equal(readAnswer(conn), http.StatusOK)
		synctest.Wait() // the connection is idle
		begun := f.clock.Now()
		is.NoErr(<-f.stop(t))
		is.True(f.clock.Now().Sub(begun) <= drainInterval)
	})
}

func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finish := make(chan struct{})
		f := newStopFixture(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-finish }), nil)
		conn := f.listener.dial(nil)
		defer conn.Close()
		send(t, conn, request)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		err := f.Drain(ctx)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(f.Counts().Open, 1)
		close(finish)
	})
}

func TestAnswerDuringADrainAsksToClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFixture(t, http.NotFoundHandler(), nil)
		conn := f.listener.dial(nil)
		defer conn.Close()
		reader := bufio.NewReader(conn)
		asksToClose := func() bool {
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			return response.Close
		}
		send(t, conn, request)
		is.True(!asksToClose())
		send(t, conn, request[:10])
		synctest.Wait()
		stopped := f.stop(t)
		synctest.Wait()
		send(t, conn, request[10:])
		is.True(asksToClose())
		is.NoErr(<-stopped)
	})
}

// Guards against requests that are cut without an answer at the end of the grace time.
func TestRequestCutOffByTheDrainIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cause := errors.New("the grace time is over")
		var got error
		f := newStopFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			got = context.Cause(r.Context())
			w.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(w, "ok") // what readAnswer expects
		}), nil)
		conn := f.listener.dial(nil)
		defer conn.Close()
		send(t, conn, request)
		synctest.Wait()
		grace, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(f.Drain(grace) != nil)
		aborted := make(chan error, 1)
		go func() { aborted <- f.Abort(t.Context(), cause) }()
		is.Equal(readAnswer(conn), http.StatusBadGateway)
		is.NoErr(<-aborted)
		is.Equal(got, cause)
		is.Equal(f.Counts().Unanswered, int64(0))
	})
}
