package daemon

import (
	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

func encodeFilter(filter models.EventFilter) *proto.EventFilter {
	return &proto.EventFilter{
		Request:   string(filter.Request),
		Engine:    string(filter.Engine),
		Workspace: string(filter.Workspace),
		Lease:     string(filter.Lease),
		Kind:      string(filter.Kind),
		Limit:     int64(filter.Limit),
	}
}

func decodeFilter(form *proto.EventFilter) models.EventFilter {
	return models.EventFilter{
		Request:   models.RequestID(form.GetRequest()),
		Engine:    models.EngineID(form.GetEngine()),
		Workspace: models.Workspace(form.GetWorkspace()),
		Lease:     models.LeaseName(form.GetLease()),
		Kind:      models.EventKind(form.GetKind()),
		Limit:     int(form.GetLimit()),
	}
}

func encodeEvent(event models.Event) *proto.Event {
	return &proto.Event{
		Stamp:     encodeStamp(event.Stamp),
		At:        encodeTime(event.At),
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

func decodeEvent(form *proto.Event) models.Event {
	return models.Event{
		Stamp:     decodeStamp(form.GetStamp()),
		At:        decodeTime(form.GetAt()),
		Daemon:    models.DaemonID(form.GetDaemon()),
		Zone:      models.Zone(form.GetZone()),
		Kind:      models.EventKind(form.GetKind()),
		Request:   models.RequestID(form.GetRequest()),
		Engine:    models.EngineID(form.GetEngine()),
		Workspace: models.Workspace(form.GetWorkspace()),
		Lease:     models.LeaseName(form.GetLease()),
		What:      form.GetWhat(),
		Why:       form.GetWhy(),
		Cause:     form.GetCause(),
	}
}
