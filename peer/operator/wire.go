package operator

import (
	"slices"
	"strings"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

type problem struct {
	Error    string   `json:"error"`
	Standing *rowForm `json:"standing,omitempty"` // the row that won
}

type rowForm struct {
	Kind    string         `json:"kind"`
	Name    string         `json:"name"`
	Version uint64         `json:"version"`
	Cells   map[string]any `json:"cells,omitempty"`
	Deleted bool           `json:"deleted,omitempty"`
}

type giveKeyForm struct {
	Workspace string `json:"workspace"`
}

type keyForm struct {
	ID        string `json:"id"`
	Key       string `json:"key"`
	Workspace string `json:"workspace"`
}

type withdrawalForm struct {
	Key         string   `json:"key"`
	Version     uint64   `json:"version"`
	InForce     []string `json:"in-force"`
	Pending     []string `json:"pending"`
	StopsWithin string   `json:"stops-within"`
}

type eventForm struct {
	At        time.Time `json:"at"`
	Wall      int64     `json:"wall"`
	Logical   uint32    `json:"logical"`
	Daemon    string    `json:"daemon"`
	Zone      string    `json:"zone"`
	Kind      string    `json:"kind"`
	Request   string    `json:"request,omitempty"`
	Engine    string    `json:"engine,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	Lease     string    `json:"lease,omitempty"`
	What      string    `json:"what"`
	Why       string    `json:"why,omitempty"`
	Cause     string    `json:"cause,omitempty"`
}

type engineForm struct {
	Engine      string    `json:"engine"`
	Role        string    `json:"role"`
	Models      []string  `json:"models"`
	Draining    bool      `json:"draining"`
	Changing    bool      `json:"changing"`
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	FreePieces  int       `json:"free-pieces"`
	TotalPieces int       `json:"total-pieces"`
	MeasuredAt  time.Time `json:"measured-at"`
}

type sentenceForm struct {
	Sentence string `json:"sentence"`
}

type windowForm struct {
	Workspace   string           `json:"workspace"`
	Window      time.Time        `json:"window"`
	State       string           `json:"state"`
	Usage       usageForm        `json:"usage"`
	Adjustments []adjustmentForm `json:"adjustments"`
}

type usageForm struct {
	Requests     int64 `json:"requests"`
	Prompt       int64 `json:"prompt-tokens"`
	Cached       int64 `json:"cached-tokens"`
	Output       int64 `json:"output-tokens"`
	ServiceCalls int64 `json:"service-calls"`
}

type adjustmentForm struct {
	Window time.Time `json:"window"`
	Usage  usageForm `json:"usage"`
}

func windowFormOf(window models.WorkspaceWindow) windowForm {
	form := windowForm{
		Workspace:   string(window.Workspace),
		Window:      window.Window,
		State:       window.State,
		Usage:       usageForm(window.Usage),
		Adjustments: []adjustmentForm{},
	}
	for _, adjustment := range window.Adjustments {
		form.Adjustments = append(form.Adjustments, adjustmentForm{
			Window: adjustment.Window,
			Usage:  usageForm(adjustment.Usage),
		})
	}
	return form
}

func formOf(row peer.TableRow) rowForm {
	return rowForm{Kind: row.Kind, Name: row.Name, Version: uint64(row.Version), Cells: row.Cells, Deleted: row.Deleted}
}

func withdrawalFormOf(withdrawal models.Withdrawal) withdrawalForm {
	return withdrawalForm{
		Key:         string(withdrawal.Key),
		Version:     uint64(withdrawal.Revision),
		InForce:     names(withdrawal.InForce),
		Pending:     names(withdrawal.Pending),
		StopsWithin: withdrawal.StopsWithin.String(),
	}
}

func names(ids []models.DaemonID) []string {
	texts := make([]string, 0, len(ids))
	for _, id := range ids {
		texts = append(texts, string(id))
	}
	return texts
}

func eventFormOf(event models.Event) eventForm {
	return eventForm{
		At:        event.At,
		Wall:      event.Stamp.Wall,
		Logical:   event.Stamp.Logical,
		Daemon:    string(event.Daemon),
		Zone:      string(event.Zone),
		Kind:      string(event.Kind),
		Request:   string(event.Request),
		Engine:    string(event.Engine),
		Workspace: string(event.Workspace),
		Lease:     string(event.Lease),
		What:      event.What,
		Why:       event.Why,
		Cause:     event.Cause,
	}
}

func engineForms(states map[models.EngineID]models.EngineState) []engineForm {
	forms := make([]engineForm, 0, len(states))
	for id, state := range states {
		form := engineForm{
			Engine:      string(id),
			Role:        string(state.Role),
			Draining:    state.Draining,
			Changing:    state.Changing,
			Running:     state.Running,
			Queued:      state.Queued,
			FreePieces:  state.FreePieces,
			TotalPieces: state.TotalPieces,
			MeasuredAt:  state.MeasuredAt,
		}
		for _, model := range state.Models {
			form.Models = append(form.Models, string(model))
		}
		forms = append(forms, form)
	}
	slices.SortFunc(forms, func(a, b engineForm) int { return strings.Compare(a.Engine, b.Engine) })
	return forms
}
