package daemon

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	gproto "google.golang.org/protobuf/proto"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// fullEvidence returns evidence in which every field is set.
func fullEvidence() *models.CrashEvidence {
	return &models.CrashEvidence{
		Crashes: []models.Crash{
			{
				Engine: "e1", Started: time.Date(2026, 1, 1, 0, 0, 0, 7, time.UTC), Age: 2 * time.Second, Refuted: true,
				Runs: []models.CrashedRun{
					{Request: math.MaxUint64, SentAge: 3 * time.Second, Parts: []models.SuspectPart{{ID: math.MaxUint64, Served: true}, {ID: 2, Whole: true}}},
					{Request: 5, SentAge: time.Second},
				},
			},
			{Engine: "e2"},
		},
		Sound:  []models.SoundPart{{ID: 3, Age: 4 * time.Second}},
		Blocks: []models.PartBlock{{ID: 4, Age: time.Second, CrashAge: 2 * time.Second, Duration: time.Minute, Count: 2, Whole: true}},
	}
}

func TestEvidenceRoundTrip(t *testing.T) {
	is := is.New(t)
	is.Equal(decodeEvidence(encodeEvidence(fullEvidence())), fullEvidence())
	is.Equal(decodeEvidence(encodeEvidence(&models.CrashEvidence{})), &models.CrashEvidence{})
	is.True(decodeEvidence(encodeEvidence(nil)) == nil)
}

func TestMalformedEvidenceIsDropped(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(form *proto.CrashEvidence)
		want  func(evidence *models.CrashEvidence)
	}{
		{
			"crash of no engine",
			func(form *proto.CrashEvidence) { form.Crashes[0].Engine = "" },
			func(evidence *models.CrashEvidence) { evidence.Crashes = evidence.Crashes[1:] },
		},
		{
			"crash in the future",
			func(form *proto.CrashEvidence) { form.Crashes[0].Age = -1 },
			func(evidence *models.CrashEvidence) { evidence.Crashes = evidence.Crashes[1:] },
		},
		{
			"crash of a request sent in the future",
			func(form *proto.CrashEvidence) { form.Crashes[0].Runs[1].SentAge = -1 },
			func(evidence *models.CrashEvidence) { evidence.Crashes = evidence.Crashes[1:] },
		},
		{
			"answer in the future",
			func(form *proto.CrashEvidence) { form.Sound[0].Age = -1 },
			func(evidence *models.CrashEvidence) { evidence.Sound = nil },
		},
		{
			"block decided in the future",
			func(form *proto.CrashEvidence) { form.Blocks[0].Age = math.MinInt64 },
			func(evidence *models.CrashEvidence) { evidence.Blocks = nil },
		},
		{
			"block for a crash in the future",
			func(form *proto.CrashEvidence) { form.Blocks[0].CrashAge = -1 },
			func(evidence *models.CrashEvidence) { evidence.Blocks = nil },
		},
		{
			"block of negative duration",
			func(form *proto.CrashEvidence) { form.Blocks[0].Duration = -1 },
			func(evidence *models.CrashEvidence) { evidence.Blocks = nil },
		},
		{
			"block with a negative count",
			func(form *proto.CrashEvidence) { form.Blocks[0].Count = -1 },
			func(evidence *models.CrashEvidence) { evidence.Blocks = nil },
		},
		{
			"missing elements",
			func(form *proto.CrashEvidence) { form.Crashes, form.Sound = []*proto.Crash{nil}, nil },
			func(evidence *models.CrashEvidence) { evidence.Crashes, evidence.Sound = nil, nil },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			form, want := encodeEvidence(fullEvidence()), fullEvidence()
			test.spoil(form)
			test.want(want)
			is.New(t).Equal(decodeEvidence(form), want)
		})
	}
}

// Guards against a faulty daemon that uses up the memory of the others.
func TestDecodedEvidenceIsBounded(t *testing.T) {
	t.Run("crashes", func(t *testing.T) {
		form := &proto.CrashEvidence{}
		for i := range maxSharedCrashes + 1 {
			form.Crashes = append(form.Crashes, &proto.Crash{Engine: fmt.Sprint(i)})
		}
		is.New(t).Equal(len(decodeEvidence(form).Crashes), maxSharedCrashes)
	})
	t.Run("runs", func(t *testing.T) {
		is := is.New(t)
		form := &proto.CrashEvidence{Crashes: []*proto.Crash{
			{Engine: "e1", Runs: make([]*proto.CrashedRun, maxSharedRuns-1)},
			{Engine: "e2", Runs: make([]*proto.CrashedRun, 2)},
			{Engine: "e3", Runs: make([]*proto.CrashedRun, 1)},
		}}
		crashes := decodeEvidence(form).Crashes
		is.Equal(len(crashes), 2)
		is.Equal(crashes[1].Engine, models.EngineID("e3")) // fits when e2 does not
		is.Equal(len(crashes[1].Runs), 1)
	})
	t.Run("parts of runs", func(t *testing.T) {
		is := is.New(t)
		run := &proto.CrashedRun{Parts: make([]*proto.SuspectPart, maxSharedParts/2)}
		form := &proto.CrashEvidence{Crashes: []*proto.Crash{
			{Engine: "e1", Runs: []*proto.CrashedRun{run, run}},
			{Engine: "e2", Runs: []*proto.CrashedRun{{Parts: make([]*proto.SuspectPart, 1)}}},
		}}
		crashes := decodeEvidence(form).Crashes
		is.Equal(len(crashes), 1)
		is.Equal(len(crashes[0].Runs), 2)
	})
	t.Run("sound parts and blocks", func(t *testing.T) {
		is := is.New(t)
		evidence := decodeEvidence(&proto.CrashEvidence{
			Sound:  make([]*proto.SoundPart, maxSharedParts+1),
			Blocks: make([]*proto.PartBlock, maxSharedParts+1),
		})
		is.Equal(len(evidence.Sound), maxSharedParts)
		is.Equal(len(evidence.Blocks), maxSharedParts)
	})
}

// Guards against load shares that daemons of another version reject during a
// rolling upgrade.
func TestSharesAreReadAcrossVersions(t *testing.T) {
	share := models.LoadShare{
		From: "vm-1", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:7780"), Sequence: 7,
		Loads: map[models.EngineID]models.ServerLoad{"e1": {Running: 3}},
	}
	t.Run("from a daemon that sends no evidence", func(t *testing.T) {
		is := is.New(t)
		var form proto.LoadShare
		raw, err := gproto.Marshal(encodeShare(share))
		is.NoErr(err)
		is.NoErr(gproto.Unmarshal(raw, &form))
		decoded, err := decodeShare(&form)
		is.NoErr(err)
		is.Equal(decoded, share)
	})
	t.Run("at a daemon that knows no evidence", func(t *testing.T) {
		is := is.New(t)
		raw, err := gproto.Marshal(encodeShare(share))
		is.NoErr(err)
		evidence, err := gproto.Marshal(encodeEvidence(fullEvidence()))
		is.NoErr(err)
		const unknownField = 1000 // as evidence is to such a daemon
		raw = protowire.AppendBytes(protowire.AppendTag(raw, unknownField, protowire.BytesType), evidence)
		var form proto.LoadShare
		is.NoErr(gproto.Unmarshal(raw, &form))
		decoded, err := decodeShare(&form)
		is.NoErr(err)
		is.Equal(decoded, share)
	})
}
