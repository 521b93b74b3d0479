package table_test

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/table"
)

const (
	seeds          = 500
	changesPerSeed = 20
)

// randomRow returns a new version of one of a few rows, deleted in one case of
// four.
func randomRow(random *rand.Rand, revision models.Revision) models.Row {
	n := strconv.Itoa(random.IntN(3))
	hash := sha256.Sum256([]byte(strconv.Itoa(int(revision))))
	values := []struct{ kind, name, cells string }{
		{"workspace", n, `{"weight": ` + strconv.Itoa(random.IntN(9)) + `}`},
		{"key", n, `{"workspace": "0", "hash": "` + hex.EncodeToString(hash[:]) + `"}`},
		{"route", n, `{"kind": "model"}`},
		{"model", n, `{"pieces": ` + strconv.Itoa(random.IntN(9)) + `}`},
		{"backend-server", n, `{"zone": "a", "url": "http://` + strconv.Itoa(random.IntN(9)) + `"}`},
		{"service", n, `{"service": "s` + strconv.Itoa(random.IntN(2)) + `", "zone": "a", "url": "http://` + n + `"}`},
		{"fleet", "limits", `{"spend-per-hour": ` + strconv.Itoa(random.IntN(9)) + `}`},
		{"workspace", n, `{"weight": -1}`}, // invalid, left out
	}
	v := values[random.IntN(len(values))]
	row := models.Row{Key: table.Key(table.Kind(v.kind), v.name), Revision: revision, Value: []byte(v.cells)}
	if random.IntN(4) == 0 {
		row.Value, row.Deleted = nil, true
	}
	return row
}

// TestApplyEqualsBuild compares applying changes one by one with building the
// configuration from all rows, and checks that Apply does not modify its input.
func TestApplyEqualsBuild(t *testing.T) {
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		rows := map[models.RowKey]models.Row{}
		config := table.NewConfig()
		for revision := models.Revision(1); revision <= changesPerSeed; revision++ {
			row := randomRow(random, revision)
			before, _ := table.Build(rowList(rows), revision-1)
			next, _ := table.Apply(config, revision, []table.Change{{Old: rows[row.Key], New: row}})
			if !reflect.DeepEqual(config, before) {
				t.Fatalf("seed %d: revision %d modified the previous configuration", seed, revision)
			}
			rows[row.Key] = row
			config = next
		}
		built, _ := table.Build(rowList(rows), changesPerSeed)
		if !reflect.DeepEqual(config, built) {
			t.Fatalf("seed %d: applied %v, built from all rows %v", seed, config, built)
		}
	}
}

func rowList(rows map[models.RowKey]models.Row) []models.Row {
	var all []models.Row
	for _, row := range rows {
		all = append(all, row)
	}
	return all
}

func TestParseMemberRejectsLatestEditRow(t *testing.T) {
	is := is.New(t)
	_, err := table.ParseMember(models.Row{Key: table.LatestEditKey})
	is.True(err != nil) // the row of the latest edit is not a registration
}
