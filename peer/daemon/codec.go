package daemon

import (
	"time"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// EncodeGossip converts a gossip message to its wire form.
func EncodeGossip(gossip models.Gossip) *proto.Gossip {
	form := &proto.Gossip{
		From:           string(gossip.From),
		To:             string(gossip.To),
		Stamp:          encodeStamp(gossip.Stamp),
		Through:        uint64(gossip.Through),
		Known:          uint64(gossip.Known),
		EvidenceAge:    int64(gossip.EvidenceAge),
		EvidenceSource: string(gossip.EvidenceSource),
		Editing: &proto.Editing{
			Epoch:     gossip.Editing.Epoch,
			Open:      gossip.Editing.Open,
			Settled:   gossip.Editing.Settled,
			Member:    uint64(gossip.Editing.Member),
			Confirmed: gossip.Editing.Confirmed,
		},
	}
	for _, report := range gossip.Reports {
		form.Reports = append(form.Reports, encodeReport(report))
	}
	for _, row := range gossip.Rows {
		form.Rows = append(form.Rows, encodeRow(row))
	}
	return form
}

// DecodeGossip converts a gossip message from its wire form.
func DecodeGossip(form *proto.Gossip) models.Gossip {
	gossip := models.Gossip{
		From:           models.DaemonID(form.GetFrom()),
		To:             models.DaemonID(form.GetTo()),
		Stamp:          decodeStamp(form.GetStamp()),
		Through:        models.Revision(form.GetThrough()),
		Known:          models.Revision(form.GetKnown()),
		EvidenceAge:    time.Duration(form.GetEvidenceAge()),
		EvidenceSource: models.EvidenceSource(form.GetEvidenceSource()),
		Editing: models.Editing{
			Epoch:     form.GetEditing().GetEpoch(),
			Open:      form.GetEditing().GetOpen(),
			Settled:   form.GetEditing().GetSettled(),
			Member:    models.Revision(form.GetEditing().GetMember()),
			Confirmed: form.GetEditing().GetConfirmed(),
		},
	}
	for _, report := range form.GetReports() {
		gossip.Reports = append(gossip.Reports, decodeReport(report))
	}
	for _, row := range form.GetRows() {
		gossip.Rows = append(gossip.Rows, decodeRow(row))
	}
	return gossip
}

func encodeStamp(stamp models.Stamp) *proto.Stamp {
	return &proto.Stamp{Wall: stamp.Wall, Logical: stamp.Logical}
}

func decodeStamp(form *proto.Stamp) models.Stamp {
	return models.Stamp{Wall: form.GetWall(), Logical: form.GetLogical()}
}

func encodeRow(row models.Row) *proto.Row {
	return &proto.Row{
		Partition: string(row.Key.Partition),
		Name:      row.Key.Name,
		Revision:  uint64(row.Revision),
		Value:     row.Value,
		Deleted:   row.Deleted,
	}
}

func decodeRow(form *proto.Row) models.Row {
	return models.Row{
		Key:      models.RowKey{Partition: models.Partition(form.GetPartition()), Name: form.GetName()},
		Revision: models.Revision(form.GetRevision()),
		Value:    form.GetValue(),
		Deleted:  form.GetDeleted(),
	}
}

// encodeTime returns nanoseconds since the Unix epoch, or 0 for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
