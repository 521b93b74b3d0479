package daemon

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/daemon/proto"
)

func encodeCall(kind proto.ForwardKind, to models.Upstream, call models.UpstreamCall) *proto.ForwardedCall {
	return &proto.ForwardedCall{
		Kind: kind,
		To: &proto.ForwardTarget{
			Id:      string(to.ID),
			Service: string(to.Service),
			Version: to.Version,
			Address: encodeAddress(to.Address),
			Zone:    string(to.Zone),
			Role:    string(to.Role),
			Started: encodeTime(to.Started),
		},
		Id:          []byte(call.ID),
		Method:      []byte(call.Method),
		Target:      []byte(call.Target),
		Host:        []byte(call.Host),
		Header:      encodeHeader(call.Header),
		Workspace:   string(call.Workspace),
		TimeLeft:    int64(call.TimeLeft),
		Urgency:     int64(call.Urgency),
		ResumeAfter: []byte(call.ResumeAfter),
		PrefillOnly: call.PrefillOnly,
		KvSource:    encodeSource(call.KVSource),
		CopyFrom:    encodeAddress(call.CopyFrom),
		BodyLength:  int64(len(call.Body)),
	}
}

// decodeCall converts a call without its body.
func decodeCall(form *proto.ForwardedCall) (models.Upstream, models.UpstreamCall, error) {
	address, err := decodeAddress(form.GetTo().GetAddress())
	if err != nil || !address.IsValid() {
		return models.Upstream{}, models.UpstreamCall{}, errors.Errorf("%q is no address of a backend server", form.GetTo().GetAddress())
	}
	copyFrom, err := decodeAddress(form.GetCopyFrom())
	if err != nil {
		return models.Upstream{}, models.UpstreamCall{}, errors.Trace(err)
	}
	source, err := decodeSource(form.GetKvSource())
	if err != nil {
		return models.Upstream{}, models.UpstreamCall{}, err
	}
	if form.GetBodyLength() < 0 {
		return models.Upstream{}, models.UpstreamCall{}, errors.Errorf("the length of the body is %d", form.GetBodyLength())
	}
	to := models.Upstream{
		ID:      models.EngineID(form.GetTo().GetId()),
		Service: models.ServiceName(form.GetTo().GetService()),
		Version: form.GetTo().GetVersion(),
		Address: address,
		Zone:    models.Zone(form.GetTo().GetZone()),
		Role:    models.Role(form.GetTo().GetRole()),
		Started: decodeTime(form.GetTo().GetStarted()),
	}
	call := models.UpstreamCall{
		ID:          models.RequestID(form.GetId()),
		Method:      string(form.GetMethod()),
		Target:      string(form.GetTarget()),
		Host:        string(form.GetHost()),
		Header:      decodeHeader(form.GetHeader()),
		Workspace:   models.Workspace(form.GetWorkspace()),
		TimeLeft:    time.Duration(form.GetTimeLeft()),
		Urgency:     int(form.GetUrgency()),
		ResumeAfter: string(form.GetResumeAfter()),
		PrefillOnly: form.GetPrefillOnly(),
		KVSource:    source,
		CopyFrom:    copyFrom,
	}
	return to, call, nil
}

func encodeAnswer(answer peer.UpstreamResponse, source models.KVSource) *proto.ForwardedAnswer {
	form := &proto.ForwardedAnswer{
		Status:        int32(answer.Status),
		Header:        encodeHeader(answer.Header),
		Length:        answer.Length,
		Unframed:      answer.Unframed,
		NotRun:        answer.NotRun,
		WrongInstance: answer.WrongInstance,
		Unsigned:      answer.Unsigned,
		Statement: &proto.ServerStatement{
			LimitNamed:      answer.Statement.Limit.Named,
			LimitUnreadable: answer.Statement.Limit.Unreadable,
			LimitPerSecond:  answer.Statement.Limit.PerSecond,
			Leaving:         answer.Statement.Leaving,
			RetryAfter:      int64(answer.Statement.RetryAfter),
		},
	}
	if answer.Load != nil {
		form.Load = &proto.StatedLoad{
			Running: int64(answer.Load.Running),
			Waiting: int64(answer.Load.Waiting),
			Slots:   int64(answer.Load.Slots),
			Pace:    answer.Load.Pace,
		}
	}
	if source != (models.KVSource{}) {
		form.KvSource = encodeSource(&source)
	}
	return form
}

// decodeAnswer converts an answer without its body.
func decodeAnswer(form *proto.ForwardedAnswer) (peer.UpstreamResponse, models.KVSource, error) {
	source, err := decodeSource(form.GetKvSource())
	if err != nil {
		return peer.UpstreamResponse{}, models.KVSource{}, err
	}
	statement := form.GetStatement()
	answer := peer.UpstreamResponse{
		Status:        int(form.GetStatus()),
		Header:        decodeHeader(form.GetHeader()),
		Length:        form.GetLength(),
		Unframed:      form.GetUnframed(),
		NotRun:        form.GetNotRun(),
		WrongInstance: form.GetWrongInstance(),
		Unsigned:      form.GetUnsigned(),
		Statement: models.ServerStatement{
			Limit: models.StatedLimit{
				Named:      statement.GetLimitNamed(),
				Unreadable: statement.GetLimitUnreadable(),
				PerSecond:  statement.GetLimitPerSecond(),
			},
			Leaving:    statement.GetLeaving(),
			RetryAfter: time.Duration(statement.GetRetryAfter()),
		},
	}
	if load := form.GetLoad(); load != nil {
		answer.Load = &models.UpstreamLoad{
			Running: int(load.GetRunning()),
			Waiting: int(load.GetWaiting()),
			Slots:   int(load.GetSlots()),
			Pace:    load.GetPace(),
		}
	}
	if source == nil {
		return answer, models.KVSource{}, nil
	}
	return answer, *source, nil
}

func encodeHeader(header http.Header) []*proto.HeaderField {
	var forms []*proto.HeaderField
	for name, values := range header {
		form := &proto.HeaderField{Name: []byte(name)}
		for _, value := range values {
			form.Values = append(form.Values, []byte(value))
		}
		forms = append(forms, form)
	}
	return forms
}

// decodeHeader returns a header that can be written to.
func decodeHeader(forms []*proto.HeaderField) http.Header {
	header := http.Header{}
	for _, form := range forms {
		var values []string
		for _, value := range form.GetValues() {
			values = append(values, string(value))
		}
		header[string(form.GetName())] = values
	}
	return header
}

func encodeSource(source *models.KVSource) *proto.KVSource {
	if source == nil {
		return nil
	}
	return &proto.KVSource{Engine: encodeAddress(source.Engine), Handle: []byte(source.Handle)}
}

func decodeSource(form *proto.KVSource) (*models.KVSource, error) {
	if form == nil {
		return nil, nil
	}
	engine, err := decodeAddress(form.GetEngine())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &models.KVSource{Engine: engine, Handle: string(form.GetHandle())}, nil
}

// encodeAddress returns an empty text for the zero address.
func encodeAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func decodeAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	address, err := netip.ParseAddrPort(text)
	return address, errors.Trace(err)
}

func encodeFailure(outcome peer.Outcome, err error) *proto.ForwardFailure {
	return &proto.ForwardFailure{
		Outcome: string(outcome),
		Message: strings.ToValidUTF8(err.Error(), "?"),
		Timeout: isTimeout(err),
	}
}

// decodeFailure returns the outcome of a failed call at a backend server, and its error.
func decodeFailure(form *proto.ForwardFailure) (peer.Outcome, error) {
	outcome := peer.OutcomeUnknown
	switch stated := peer.Outcome(form.GetOutcome()); stated {
	case peer.OutcomeNotDone, peer.OutcomeRefused:
		outcome = stated
	}
	return outcome, &forwardError{cause: errors.New(form.GetMessage()), timeout: form.GetTimeout()}
}
