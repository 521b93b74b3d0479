package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Sizes of the crowds.
const (
	headMembers   = 100 // with heads that are no legal request
	shortMembers  = 600 // with heads that stop short of their end
	oddMembers    = 400 // with legal heads of many lines
	bodyMembers   = 64  // with large bodies
	silentMembers = 450 // that do not read answers
	idleMembers   = 600 // without a request
)

const (
	endlessBytes = 1 << 20 // written where something has no end
	missingBytes = 4       // of a body that stops short of its end
)

func TestHeadsOverTheLimit(t *testing.T) {
	d := startDaemon(t)
	line := "X-Large: " + strings.Repeat("a", endlessBytes) + "\r\n"
	c := gather(t, d, headMembers, func(w io.Writer, member int) error {
		_, err := io.WriteString(w, head(http.MethodGet, serviceHolding, crowdKey, "c-"+strconv.Itoa(member))+line+"\r\n")
		return err
	})
	d.endures(t, c)
}

func TestHeadsWithoutEnd(t *testing.T) {
	d := startDaemon(t)
	lines := strings.Repeat("a:\r\n", endlessBytes/4)
	c := gather(t, d, headMembers, func(w io.Writer, member int) error {
		_, err := io.WriteString(w, head(http.MethodGet, serviceHolding, crowdKey, "c-"+strconv.Itoa(member))+lines)
		return err
	})
	d.endures(t, c)
}

func TestHeadsThatStopShort(t *testing.T) {
	d := startDaemon(t)
	c := gather(t, d, shortMembers, func(w io.Writer, member int) error {
		_, err := io.WriteString(w, head(http.MethodGet, serviceHolding, crowdKey, "c-"+strconv.Itoa(member))+distinctNames())
		return err
	})
	d.endures(t, c)
}

func TestEmptyLinesBeforeARequest(t *testing.T) {
	d := startDaemon(t)
	lines := strings.Repeat("\r\n", endlessBytes/2)
	c := gather(t, d, headMembers, func(w io.Writer, _ int) error {
		_, err := io.WriteString(w, lines)
		return err
	})
	d.endures(t, c)
}

// legalHeadRoom is the part of a head of legal size that its further lines may take.
const legalHeadRoom = maxHeaderBytes - 256

// distinctNames returns as many lines without a value as a legal head may have.
func distinctNames() string {
	var lines strings.Builder
	for i := 0; lines.Len() < legalHeadRoom; i++ {
		fmt.Fprintf(&lines, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return lines.String()
}

func TestLegalHeadsOfManyLines(t *testing.T) {
	for name, lines := range map[string]string{
		"distinct names without a value": distinctNames(),
		"one name without a value":       strings.Repeat("a:\r\n", legalHeadRoom/4),
		"one name with values":           strings.Repeat("a:b\r\n", legalHeadRoom/5),
		"folded lines":                   "a: b\r\n" + strings.Repeat(" \tc\r\n", legalHeadRoom/5-5),
		"bare line feeds":                strings.Repeat("a:\n", legalHeadRoom/3),
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			d := startDaemon(t)
			c := gather(t, d, oddMembers, func(w io.Writer, member int) error {
				_, err := io.WriteString(w, head(http.MethodGet, serviceHolding, crowdKey, "c-"+strconv.Itoa(member))+lines+"\r\n")
				return err
			})
			d.endures(t, c)
		})
	}
}

// writeBody writes a request with a body of the largest legal size, with its length or
// in chunks, but for the last bytes.
func writeBody(w io.Writer, service, key string, member int, chunked bool, missing int) error {
	id := "c-" + strconv.Itoa(member)
	body := make([]byte, maxBodyBytes-missing)
	if !chunked {
		_, err := io.WriteString(w, head(http.MethodPost, service, key, id, "Content-Length: "+strconv.Itoa(maxBodyBytes))+"\r\n")
		if err == nil {
			_, err = w.Write(body)
		}
		return err
	}
	_, err := io.WriteString(w, head(http.MethodPost, service, key, id, "Transfer-Encoding: chunked")+"\r\n")
	for len(body) > 0 && err == nil {
		chunk := body[:min(pieceBytes, len(body))]
		body = body[len(chunk):]
		_, err = fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	if missing == 0 && err == nil {
		_, err = io.WriteString(w, "0\r\n\r\n")
	}
	return err
}

func TestLargeBodies(t *testing.T) {
	for _, test := range []struct {
		name, service, key string
		chunked            bool
		missing            int
	}{
		{"whole", serviceHolding, crowdKey, false, 0},
		{"whole in chunks", serviceHolding, crowdKey, true, 0},
		{"stop short", serviceHolding, crowdKey, false, missingBytes},
		{"stop short in chunks", serviceHolding, crowdKey, true, missingBytes},
		{"whole without a valid key", serviceHolding, "unknown", false, 0},
		{"stop short without a valid key", serviceHolding, "unknown", false, missingBytes},
		{"stop short in chunks without a valid key", serviceHolding, "unknown", true, missingBytes},
		{"for a server that reads nothing", serviceDeaf, crowdKey, false, 0},
	} {
		t.Run(strings.ReplaceAll(test.name, " ", "_"), func(t *testing.T) {
			d := startDaemon(t)
			c := gather(t, d, bodyMembers, func(w io.Writer, member int) error {
				return writeBody(w, test.service, test.key, member, test.chunked, test.missing)
			})
			d.endures(t, c)
		})
	}
}

func TestCallersThatReadNoAnswers(t *testing.T) {
	d := startDaemon(t)
	c := gather(t, d, silentMembers, func(w io.Writer, member int) error {
		_, err := io.WriteString(w, head(http.MethodGet, serviceLarge, crowdKey, "c-"+strconv.Itoa(member))+"\r\n")
		return err
	})
	d.endures(t, c)
}

func TestServersThatNeverEndAHead(t *testing.T) {
	d := startDaemon(t)
	c := gather(t, d, headMembers, func(w io.Writer, member int) error {
		_, err := io.WriteString(w, head(http.MethodGet, serviceEndless, crowdKey, "c-"+strconv.Itoa(member))+"\r\n")
		return err
	})
	d.endures(t, c)
}

func TestConnectionsWithoutARequest(t *testing.T) {
	d := startDaemon(t)
	c := gather(t, d, idleMembers, func(io.Writer, int) error { return nil })
	d.endures(t, c)
}

// TestLargestRequestInCalm checks that one request within the limits is served.
func TestLargestRequestInCalm(t *testing.T) {
	d := startDaemon(t)
	for name, write := range map[string]func(io.Writer) error{
		"body":   func(w io.Writer) error { return writeBody(w, serviceOrdinary, crowdKey, 0, false, 0) },
		"chunks": func(w io.Writer) error { return writeBody(w, serviceOrdinary, crowdKey, 1, true, 0) },
		"lines": func(w io.Writer) error {
			_, err := io.WriteString(w, head(http.MethodGet, serviceOrdinary, crowdKey, "c-2")+distinctNames()+"\r\n")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, err := d.exchange(write)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}
