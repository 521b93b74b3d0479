package intake

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/peer/system"
)

// newIntake returns an intake with a limit of the size of heads.
func newIntake(limits Limits) *Intake {
	return New(limits, func() int { return 16 << 10 }, system.NewClock(), zap.NewNop())
}

// connect returns both ends of a connection of an intake.
func connect(t *testing.T, i *Intake) (*conn, net.Conn) {
	t.Helper()
	caller, server := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	c := &conn{Conn: server, intake: i}
	is.New(t).True(i.add(c))
	return c, caller
}

func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	i := newIntake(Limits{Connections: 2})
	oldest, oldestCaller := connect(t, i)
	is.True(i.setPhase(oldest, phaseRunning))
	second, secondCaller := connect(t, i)
	third, _ := connect(t, i)
	_, err := secondCaller.Read(make([]byte, 1))
	is.True(err != nil)                     // closed: the only one without a request
	is.True(!i.setPhase(second, phaseBody)) // a request that it has begun is not passed on
	is.True(i.setPhase(third, phaseRunning))
	is.True(!i.add(&conn{Conn: oldestCaller, intake: i})) // all have a request
	is.NoErr(oldest.Close())
	is.Equal(i.Connections(), 1)
}

func TestHeadsAreChargedBeforeTheyAreParsed(t *testing.T) {
	for name, test := range map[string]struct {
		limit int
		head  string
		want  string
	}{
		"an ordinary head":        {0, strings.Repeat("Header: value\r\n", 20), ""},
		"many lines in calm":      {10 << 20, strings.Repeat("a:\r\n", 4000), ""},
		"many lines without room": {1 << 20, strings.Repeat("a:\r\n", 4000), answerNoMemory},
		"too large":               {10 << 20, strings.Repeat("a", 21<<10), answerLargeHead},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newIntake(Limits{Bytes: test.limit})
			c, _ := connect(t, i)
			is.Equal(c.countHead([]byte(test.head)), test.want)
			is.NoErr(c.Close())
			is.Equal(i.bytes.Held(KindHead), 0)
		})
	}
}

func TestStandingBodyEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := newIntake(Limits{Stall: 10 * time.Second})
		c, caller := connect(t, i)
		request, err := http.NewRequestWithContext(WithConn(t.Context(), c), http.MethodPost, "/", http.NoBody)
		is.NoErr(err)
		begun, err := i.Begin(request)
		is.NoErr(err)
		for range 11 {
			i.Step(t.Context())
			is.NoErr(i.clock.Sleep(t.Context(), time.Second))
		}
		_, err = caller.Write([]byte("x"))
		is.True(err != nil)
		begun.End()
		is.NoErr(c.Close())
		is.Equal(i.Connections(), 0)
	})
}

// begin begins a request on a connection.
func begin(t *testing.T, i *Intake, c *conn) *Request {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(WithConn(t.Context(), c), http.MethodPost, "/", http.NoBody)
	is.NoErr(err)
	begun, err := i.Begin(r)
	is.NoErr(err)
	return begun
}

// TestNextBodyDoesNotStandStill guards against a kept connection that is closed because two
// of its requests were taken for one that stands still.
func TestNextBodyDoesNotStandStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := newIntake(Limits{Stall: 10 * time.Second})
		c, _ := connect(t, i)
		for range 2 {
			request := begin(t, i, c)
			i.Step(t.Context())
			request.End()
			is.NoErr(i.clock.Sleep(t.Context(), 25*time.Second))
		}
		is.Equal(i.Connections(), 1)
	})
}

// TestAnswerIsWrittenBeforeItsConnectionIsIdle guards against a connection that is closed
// for another while http.Server still has to write its answer.
func TestAnswerIsWrittenBeforeItsConnectionIsIdle(t *testing.T) {
	is := is.New(t)
	i := newIntake(Limits{Connections: 1})
	c, caller := connect(t, i)
	begin(t, i, c).End()
	other, _ := net.Pipe()
	is.True(!i.add(&conn{Conn: other, intake: i})) // there is none to be closed for it
	go func() { _, _ = caller.Write([]byte("GET")) }()
	_, err := c.Read(make([]byte, 16)) // of the next request: the answer is written
	is.NoErr(err)
	is.True(i.add(&conn{Conn: other, intake: i}))
}

// TestBodyIsNotChargedAsHead guards against bodies of many lines that take the room for
// heads.
func TestBodyIsNotChargedAsHead(t *testing.T) {
	is := is.New(t)
	i := newIntake(Limits{Bytes: 10 << 20})
	c, _ := connect(t, i)
	is.Equal(c.countHead([]byte(strings.Repeat("\n", 4096))), "")
	is.True(i.bytes.Held(KindHead) > 0)
	begin(t, i, c)
	is.Equal(i.bytes.Held(KindHead), 0)
}
