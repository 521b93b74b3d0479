package daemon

import (
	"time"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

func encodeReport(report models.DaemonReport) *proto.DaemonReport {
	form := &proto.DaemonReport{
		Daemon:       string(report.Daemon),
		Zone:         string(report.Zone),
		Sequence:     report.Sequence,
		Config:       uint64(report.Config),
		StoreFailing: int64(report.StoreOutage),
		Draining:     report.Draining,
		Inflight:     encodeMap(report.Inflight, encodeInflight),
		Work:         encodeMap(report.Work, encodeWork),
		Offered:      encodeMap(report.Offered, encodeOffered),
		Ejected:      encodeMap(report.Ejected, func(d time.Duration) int64 { return int64(d) }),
	}
	for _, state := range report.States {
		form.States = append(form.States, encodeState(state))
	}
	return form
}

func decodeReport(form *proto.DaemonReport) models.DaemonReport {
	report := models.DaemonReport{
		Daemon:      models.DaemonID(form.GetDaemon()),
		Zone:        models.Zone(form.GetZone()),
		Sequence:    form.GetSequence(),
		Config:      models.Revision(form.GetConfig()),
		StoreOutage: time.Duration(form.GetStoreFailing()),
		Draining:    form.GetDraining(),
		Inflight:    decodeMap[models.EngineID](form.GetInflight(), decodeInflight),
		Work:        decodeMap[models.Workspace](form.GetWork(), decodeWork),
		Offered:     decodeMap[models.Model](form.GetOffered(), decodeOffered),
		Ejected:     decodeMap[models.EngineID](form.GetEjected(), func(n int64) time.Duration { return time.Duration(n) }),
	}
	if len(form.GetStates()) > 0 {
		report.States = map[models.EngineID]models.EngineState{}
	}
	for _, state := range form.GetStates() {
		report.States[models.EngineID(state.GetEngine())] = decodeState(state)
	}
	return report
}

func encodeMap[K ~string, V, W any](values map[K]V, encode func(V) W) map[string]W {
	if len(values) == 0 {
		return nil
	}
	forms := make(map[string]W, len(values))
	for key, value := range values {
		forms[string(key)] = encode(value)
	}
	return forms
}

func decodeMap[K ~string, V, W any](forms map[string]W, decode func(W) V) map[K]V {
	if len(forms) == 0 {
		return nil
	}
	values := make(map[K]V, len(forms))
	for key, form := range forms {
		values[K(key)] = decode(form)
	}
	return values
}

func encodeInflight(work models.InflightWork) *proto.InflightWork {
	return &proto.InflightWork{
		Requests:     int64(work.Requests),
		PromptTokens: int64(work.PromptTokens),
		OutputTokens: int64(work.OutputTokens),
	}
}

func decodeInflight(form *proto.InflightWork) models.InflightWork {
	return models.InflightWork{
		Requests:     int(form.GetRequests()),
		PromptTokens: int(form.GetPromptTokens()),
		OutputTokens: int(form.GetOutputTokens()),
	}
}

func encodeWork(work models.WorkDone) *proto.WorkDone {
	return &proto.WorkDone{
		Requests:     work.Requests,
		PromptTokens: work.PromptTokens,
		OutputTokens: work.OutputTokens,
		Running:      int64(work.Running),
		Waiting:      int64(work.Waiting),
		Refused:      work.Refused,
	}
}

func decodeWork(form *proto.WorkDone) models.WorkDone {
	return models.WorkDone{
		Requests:     form.GetRequests(),
		PromptTokens: form.GetPromptTokens(),
		OutputTokens: form.GetOutputTokens(),
		Running:      int(form.GetRunning()),
		Waiting:      int(form.GetWaiting()),
		Refused:      form.GetRefused(),
	}
}

func encodeOffered(work models.OfferedWork) *proto.OfferedWork {
	return &proto.OfferedWork{
		Requests:     work.Requests,
		PromptTokens: work.PromptTokens,
		OutputTokens: work.OutputTokens,
	}
}

func decodeOffered(form *proto.OfferedWork) models.OfferedWork {
	return models.OfferedWork{
		Requests:     form.GetRequests(),
		PromptTokens: form.GetPromptTokens(),
		OutputTokens: form.GetOutputTokens(),
	}
}

func encodeState(state models.EngineState) *proto.EngineState {
	form := &proto.EngineState{
		Engine:        string(state.Engine),
		MeasuredAt:    encodeTime(state.MeasuredAt),
		Role:          string(state.Role),
		Draining:      state.Draining,
		Changing:      state.Changing,
		EvictionAt:    encodeTime(state.EvictionAt),
		Fence:         state.Fence,
		LastOrder:     state.LastOrder,
		Running:       int64(state.Running),
		Queued:        int64(state.Queued),
		QueuedTokens:  int64(state.QueuedTokens),
		FreePieces:    int64(state.FreePieces),
		TotalPieces:   int64(state.TotalPieces),
		PieceTokens:   int64(state.PieceTokens),
		PrefillRate:   state.PrefillRate,
		DecodeRate:    state.DecodeRate,
		CacheSequence: state.CacheSequence,
	}
	for _, model := range state.Models {
		form.Models = append(form.Models, string(model))
	}
	return form
}

func decodeState(form *proto.EngineState) models.EngineState {
	state := models.EngineState{
		Engine:        models.EngineID(form.GetEngine()),
		MeasuredAt:    decodeTime(form.GetMeasuredAt()),
		Role:          models.Role(form.GetRole()),
		Draining:      form.GetDraining(),
		Changing:      form.GetChanging(),
		EvictionAt:    decodeTime(form.GetEvictionAt()),
		Fence:         form.GetFence(),
		LastOrder:     form.GetLastOrder(),
		Running:       int(form.GetRunning()),
		Queued:        int(form.GetQueued()),
		QueuedTokens:  int(form.GetQueuedTokens()),
		FreePieces:    int(form.GetFreePieces()),
		TotalPieces:   int(form.GetTotalPieces()),
		PieceTokens:   int(form.GetPieceTokens()),
		PrefillRate:   form.GetPrefillRate(),
		DecodeRate:    form.GetDecodeRate(),
		CacheSequence: form.GetCacheSequence(),
	}
	for _, model := range form.GetModels() {
		state.Models = append(state.Models, models.Model(model))
	}
	return state
}
