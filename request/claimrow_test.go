package request

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
)

// FuzzClaim checks that decodeClaim either fails or returns a row whose answer,
// if any, can be replayed.
func FuzzClaim(f *testing.F) {
	finish := models.Finish{Reason: models.FinishStop, Usage: models.TokenUsage{Prompt: 3, Output: 1}}
	for _, answer := range []*answerRecord{nil, {tokens: []string{" oak"}, finish: &finish}, {service: &models.ServiceResponse{Status: 201, Body: []byte("x")}}} {
		raw, err := encodeClaim(claimRow{token: "t", state: claimDone, claimedAt: time.Unix(1, 0), answer: answer})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(`{"fingerprint": "00"}`))
	f.Add([]byte(`{"answer": {"tokens": ["x"]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		row, err := decodeClaim(raw)
		if err != nil {
			return
		}
		if row.answer != nil && row.answer.finish == nil && row.answer.service.Status == 0 {
			t.Errorf("decoded answer has neither finish nor status: %+v", row.answer)
		}
	})
}

func TestClaimRowRoundTrip(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1700000000, 0).UTC()
	row := claimRow{
		token: "t", holder: "a", fingerprint: [32]byte{1}, state: claimUnknown, claimedAt: at, deadline: at.Add(1),
		expires: at.Add(2), evidence: "e", object: "o",
		answer: &answerRecord{service: &models.ServiceResponse{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: []byte("x")}},
	}
	raw, err := encodeClaim(row)
	is.NoErr(err)
	again, err := decodeClaim(raw)
	is.NoErr(err)
	is.Equal(again, row)
}
