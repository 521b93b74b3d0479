package daemon

import (
	"reflect"
	"testing"

	gproto "google.golang.org/protobuf/proto"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// FuzzGossip checks that any message accepted by protobuf can be decoded, and
// that its rows, stamp and revision survive another round trip.
func FuzzGossip(f *testing.F) {
	for _, gossip := range []models.Gossip{fullGossip(), {}} {
		raw, err := gproto.Marshal(EncodeGossip(gossip))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var form proto.Gossip
		if err := gproto.Unmarshal(raw, &form); err != nil {
			return
		}
		gossip := DecodeGossip(&form)
		if again := DecodeGossip(EncodeGossip(gossip)); !reflect.DeepEqual(gossip.Rows, again.Rows) || gossip.Stamp != again.Stamp || gossip.Through != again.Through {
			t.Errorf("round trip changed %+v to %+v", gossip, again)
		}
	})
}

// FuzzEvidence checks that any message accepted by protobuf is decoded within
// bounds, and that what is accepted survives another round trip.
func FuzzEvidence(f *testing.F) {
	for _, evidence := range []*models.CrashEvidence{fullEvidence(), {}} {
		raw, err := gproto.Marshal(encodeEvidence(evidence))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0x0a, 0x00, 0x12, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var form proto.CrashEvidence
		if err := gproto.Unmarshal(raw, &form); err != nil {
			return
		}
		evidence := decodeEvidence(&form)
		if len(evidence.Crashes) > maxSharedCrashes || len(evidence.Sound) > maxSharedParts || len(evidence.Blocks) > maxSharedParts {
			t.Errorf("%d crashes, %d sound parts, %d blocks", len(evidence.Crashes), len(evidence.Sound), len(evidence.Blocks))
		}
		if again := decodeEvidence(encodeEvidence(evidence)); !reflect.DeepEqual(evidence, again) {
			t.Errorf("round trip changed %+v to %+v", evidence, again)
		}
	})
}

// FuzzForwardedCall checks that any message accepted by protobuf can be decoded, and that
// what is accepted survives another round trip.
func FuzzForwardedCall(f *testing.F) {
	raw, err := gproto.Marshal(encodeCall(proto.ForwardKind_FORWARD_KIND_SEND, target(), fullCall()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x12, 0x00, 0x7a, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var form proto.ForwardedCall
		if err := gproto.Unmarshal(raw, &form); err != nil {
			return
		}
		to, call, err := decodeCall(&form)
		if err != nil {
			return
		}
		toAgain, again, err := decodeCall(encodeCall(form.GetKind(), to, call))
		if err != nil || !reflect.DeepEqual(to, toAgain) || !reflect.DeepEqual(call, again) {
			t.Errorf("round trip changed %+v %+v to %+v %+v: %v", to, call, toAgain, again, err)
		}
	})
}
