package intake

import (
	"io"
	"net/http"

	"github.com/juju/errors"

	"quincewinch/models"
)

// firstBodyBytes is the size of the first buffer for a body. Each further one is twice
// as large.
const firstBodyBytes = 16 << 10

// IsLarge reports whether the body of a request is too large to be read before it is
// known who sends it.
func IsLarge(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > firstBodyBytes
}

// Request is what is held for one request.
type Request struct {
	intake *Intake
	conn   *conn // nil for a connection of another listener
	holder string
	placed bool
	body   int // bytes charged
	unread bool
}

// Begin begins a request whose head has been parsed. Its end has to follow, also after a
// refusal.
func (i *Intake) Begin(r *http.Request) (*Request, error) {
	request := &Request{intake: i}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return request, nil
	}
	request.conn = c
	if !i.setPhase(c, phaseBody) {
		return request, &models.Refusal{Code: models.RefusalCancelled, Message: "the connection was closed for another", NotRun: true}
	}
	// The head may have been read with the request before.
	lines := lineCount(r.Header)
	if !c.chargeHead(headCost(0, lines)) {
		return request, i.refusal(reasonHeads)
	}
	c.settleHead(headCost(c.headBytes, lines))
	return request, nil
}

// Admit admits a request of a holder, such as a workspace. Its error is a
// *models.Refusal.
func (q *Request) Admit(holder string) error {
	q.holder = holder
	if !q.intake.requests.Take(holder, KindRequest, 1) {
		return q.intake.refusal(reasonRequests)
	}
	q.placed = true
	return nil
}

// ReadBody reads the body of a request, charged as it grows. Its error is a
// *models.Refusal: the request has not run.
func (q *Request) ReadBody(r *http.Request, limit int) ([]byte, error) {
	defer q.bodyRead()
	if r.ContentLength == 0 {
		return nil, nil
	}
	size := limit + 1 // one byte more shows that it is too large
	if r.ContentLength > 0 {
		size = int(r.ContentLength)
	}
	if r.ContentLength > 0 && !q.intake.bytes.Fits(q.holder, size) {
		return nil, q.intake.refusal(reasonBody)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := q.grow(body, size)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit, int64(len(body)) == r.ContentLength:
			return body, nil
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, &models.Refusal{Code: models.RefusalCancelled, Message: "the request's body broke off", NotRun: true}
		}
	}
}

// grow returns a larger buffer with the same bytes. Both are charged while they are
// copied.
func (q *Request) grow(body []byte, size int) ([]byte, error) {
	larger := min(max(2*cap(body), firstBodyBytes), size)
	if !q.intake.bytes.Take(q.holder, KindBody, larger) {
		return nil, q.intake.refusal(reasonBody)
	}
	q.body += larger
	grown := make([]byte, len(body), larger)
	copy(grown, body)
	q.intake.bytes.Return(q.holder, KindBody, cap(body))
	q.body -= cap(body)
	return grown, nil
}

// holderForwarded holds the requests that other daemons received.
const holderForwarded = "\x00forwarded"

// TakeForwarded takes a place and memory for a request that another daemon has received,
// with a body of a size in bytes. It reports false if there is no room; otherwise release
// returns both.
func (i *Intake) TakeForwarded(bodyBytes int) (release func(), ok bool) {
	if !i.requests.Take(holderForwarded, KindRequest, 1) {
		return nil, false
	}
	if !i.bytes.Take(holderForwarded, KindBody, bodyBytes) {
		i.requests.Return(holderForwarded, KindRequest, 1)
		return nil, false
	}
	return func() {
		i.bytes.Return(holderForwarded, KindBody, bodyBytes)
		i.requests.Return(holderForwarded, KindRequest, 1)
	}, true
}

// bodyRead marks the body as read: from now on the request is being answered.
func (q *Request) bodyRead() {
	if q.conn != nil {
		q.intake.setPhase(q.conn, phaseRunning)
	}
}

// Unread marks a request whose body is not read to its end. Its connection ends with
// the answer, also if the rest of the body stands still.
func (q *Request) Unread() {
	q.unread = true
	if q.conn != nil {
		q.intake.setPhase(q.conn, phaseBody)
	}
}

// End returns what the request holds. The answer may still have to be written, so that its
// connection is not idle yet.
func (q *Request) End() {
	q.intake.bytes.Return(q.holder, KindBody, q.body)
	if q.placed {
		q.intake.requests.Return(q.holder, KindRequest, 1)
	}
	if q.conn != nil {
		q.conn.endRequest()
		if !q.unread {
			q.intake.setPhase(q.conn, phaseDone)
		}
	}
}
