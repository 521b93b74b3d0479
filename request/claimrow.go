package request

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// claimState is the state of a claimed request.
type claimState string

const (
	claimClaimed  claimState = "claimed"  // the holder may send it
	claimDone     claimState = "done"     // it has run and its answer is known
	claimUnknown  claimState = "unknown"  // it may have run and must not run again
	claimReleased claimState = "released" // it certainly did not run under this claim
)

// claimRow is the row that claims a request. token identifies the one attempt
// that may run it.
type claimRow struct {
	token       string
	holder      models.DaemonID
	fingerprint [32]byte
	state       claimState
	claimedAt   time.Time
	deadline    time.Time // the holder sends nothing after it
	expires     time.Time
	evidence    string
	answer      *answerRecord
	object      string // name of a large answer in the object store
}

// answerRecord is an answer that can be replayed. Exactly one of service and
// finish is set.
type answerRecord struct {
	service *models.ServiceResponse
	tokens  []string
	finish  *models.Finish
}

// claimForm is the JSON form of a claimRow.
type claimForm struct {
	Token       string      `json:"token"`
	Holder      string      `json:"holder"`
	Fingerprint string      `json:"fingerprint"`
	State       string      `json:"state"`
	ClaimedAt   time.Time   `json:"claimed-at"`
	Deadline    time.Time   `json:"deadline"`
	Expires     time.Time   `json:"expires"`
	Evidence    string      `json:"evidence,omitempty"`
	Answer      *answerForm `json:"answer,omitempty"`
	Object      string      `json:"object,omitempty"`
}

// answerForm is the JSON form of an answerRecord.
type answerForm struct {
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	Tokens []string            `json:"tokens,omitempty"`
	Finish *finishForm         `json:"finish,omitempty"`
}

// finishForm is the JSON form of a models.Finish.
type finishForm struct {
	Reason string `json:"reason"`
	Prompt int    `json:"prompt-tokens"`
	Cached int    `json:"cached-tokens"`
	Output int    `json:"output-tokens"`
}

func encodeClaim(row claimRow) ([]byte, error) {
	form := claimForm{
		Token:       row.token,
		Holder:      string(row.holder),
		Fingerprint: hex.EncodeToString(row.fingerprint[:]),
		State:       string(row.state),
		ClaimedAt:   row.claimedAt,
		Deadline:    row.deadline,
		Expires:     row.expires,
		Evidence:    row.evidence,
		Object:      row.object,
	}
	if row.answer != nil {
		form.Answer = newAnswerForm(*row.answer)
	}
	raw, err := json.Marshal(form)
	return raw, errors.Trace(err)
}

func decodeClaim(raw []byte) (claimRow, error) {
	var form claimForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return claimRow{}, errors.Annotate(err, "cannot decode a claim")
	}
	row := claimRow{
		token:     form.Token,
		holder:    models.DaemonID(form.Holder),
		state:     claimState(form.State),
		claimedAt: form.ClaimedAt,
		deadline:  form.Deadline,
		expires:   form.Expires,
		evidence:  form.Evidence,
		object:    form.Object,
	}
	fingerprint, err := hex.DecodeString(form.Fingerprint)
	if err != nil || len(fingerprint) != len(row.fingerprint) {
		return claimRow{}, errors.NotValidf("fingerprint of a claim")
	}
	copy(row.fingerprint[:], fingerprint)
	if form.Answer != nil {
		row.answer, err = form.Answer.domain()
	}
	return row, err
}

func encodeAnswer(answer answerRecord) ([]byte, error) {
	raw, err := json.Marshal(newAnswerForm(answer))
	return raw, errors.Trace(err)
}

func decodeAnswer(raw []byte) (*answerRecord, error) {
	var form answerForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, errors.Annotate(err, "cannot decode a stored answer")
	}
	return form.domain()
}

func newAnswerForm(answer answerRecord) *answerForm {
	form := &answerForm{Tokens: answer.tokens}
	if answer.service != nil {
		form.Status = answer.service.Status
		form.Header = answer.service.Header
		form.Body = answer.service.Body
	}
	if answer.finish != nil {
		form.Finish = &finishForm{
			Reason: string(answer.finish.Reason),
			Prompt: answer.finish.Usage.Prompt,
			Cached: answer.finish.Usage.Cached,
			Output: answer.finish.Usage.Output,
		}
	}
	return form
}

func (f answerForm) domain() (*answerRecord, error) {
	if f.Finish == nil && f.Status == 0 {
		return nil, errors.NotValidf("stored answer without status and finish")
	}
	if f.Finish == nil {
		return &answerRecord{service: &models.ServiceResponse{Status: f.Status, Header: f.Header, Body: f.Body}}, nil
	}
	finish := models.Finish{
		Reason: models.FinishReason(f.Finish.Reason),
		Usage:  models.TokenUsage{Prompt: f.Finish.Prompt, Cached: f.Finish.Cached, Output: f.Finish.Output},
	}
	return &answerRecord{tokens: f.Tokens, finish: &finish}, nil
}
