package operator

import (
	"slices"
	"strings"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

type errorJSON struct {
	Error      string   `json:"error"`
	CurrentRow *rowJSON `json:"standing,omitempty"` // after an edit conflict, if known
}

type rowJSON struct {
	Kind    string         `json:"kind"`
	Name    string         `json:"name"`
	Version uint64         `json:"version"`
	Cells   map[string]any `json:"cells,omitempty"`
	Deleted bool           `json:"deleted,omitempty"`
}

type giveKeyRequest struct {
	Workspace string `json:"workspace"`
}

type keyJSON struct {
	ID        string `json:"id"`
	Key       string `json:"key"`
	Workspace string `json:"workspace"`
}

type withdrawalJSON struct {
	Key         string   `json:"key"`
	Version     uint64   `json:"version"`
	InForce     []string `json:"in-force"`
	Pending     []string `json:"pending"`
	StopsWithin string   `json:"stops-within"`
}

type eventJSON struct {
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

type engineJSON struct {
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

type sentenceJSON struct {
	Sentence string `json:"sentence"`
}

type windowJSON struct {
	Workspace   string           `json:"workspace"`
	Window      time.Time        `json:"window"`
	State       string           `json:"state"`
	Usage       usageJSON        `json:"usage"`
	Adjustments []adjustmentJSON `json:"adjustments"`
}

type usageJSON struct {
	Requests     int64 `json:"requests"`
	Prompt       int64 `json:"prompt-tokens"`
	Cached       int64 `json:"cached-tokens"`
	Output       int64 `json:"output-tokens"`
	ServiceCalls int64 `json:"service-calls"`
}

type adjustmentJSON struct {
	Window time.Time `json:"window"`
	Usage  usageJSON `json:"usage"`
}

func toWindowJSON(window models.WorkspaceWindow) windowJSON {
	converted := windowJSON{
		Workspace:   string(window.Workspace),
		Window:      window.Window,
		State:       window.State,
		Usage:       usageJSON(window.Usage),
		Adjustments: []adjustmentJSON{},
	}
	for _, adjustment := range window.Adjustments {
		converted.Adjustments = append(converted.Adjustments, adjustmentJSON{
			Window: adjustment.Window,
			Usage:  usageJSON(adjustment.Usage),
		})
	}
	return converted
}

func toRowJSON(row peer.TableRow) rowJSON {
	return rowJSON{Kind: row.Kind, Name: row.Name, Version: uint64(row.Version), Cells: row.Cells, Deleted: row.Deleted}
}

func toWithdrawalJSON(withdrawal models.Withdrawal) withdrawalJSON {
	return withdrawalJSON{
		Key:         string(withdrawal.Key),
		Version:     uint64(withdrawal.Revision),
		InForce:     daemonNames(withdrawal.InForce),
		Pending:     daemonNames(withdrawal.Pending),
		StopsWithin: withdrawal.StopsWithin.String(),
	}
}

func daemonNames(ids []models.DaemonID) []string {
	texts := make([]string, 0, len(ids))
	for _, id := range ids {
		texts = append(texts, string(id))
	}
	return texts
}

func toEventJSON(event models.Event) eventJSON {
	return eventJSON{
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

func toEngineList(states map[models.EngineID]models.EngineState) []engineJSON {
	engines := make([]engineJSON, 0, len(states))
	for id, state := range states {
		engine := engineJSON{
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
			engine.Models = append(engine.Models, string(model))
		}
		engines = append(engines, engine)
	}
	slices.SortFunc(engines, func(a, b engineJSON) int { return strings.Compare(a.Engine, b.Engine) })
	return engines
}
